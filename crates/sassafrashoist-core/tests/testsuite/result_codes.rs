use std::collections::BTreeSet;

use sassafrashoist_core::result_code::ResultCode;

const PAGE: &str = include_str!("../../../../docs/RESULT-CODES.md");

fn table_line(code: &ResultCode) -> String {
    format!(
        "| {} | `{}` | {} | {} | {} |",
        code.number(),
        code.name(),
        code.http_status(),
        code.outcome().as_str(),
        code.meaning()
    )
}

#[test]
fn result_codes_page_holds_the_table_of_the_code() {
    let expected: Vec<String> = ResultCode::ALL.iter().map(table_line).collect();

    let written: Vec<&str> =
        PAGE.lines().filter(|line| line.starts_with("| ") && line.contains('`')).collect();

    assert_eq!(written, expected);
}

#[test]
fn result_codes_have_numbers_of_their_own() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();

    assert_eq!(numbers.len(), ResultCode::ALL.len());
}
