use std::collections::BTreeMap;

use sassafrashoist_core::budgets::ledger::Ledger;
use sassafrashoist_core::budgets::record::{LedgerEvent, LedgerRecord, LedgerRecordError};

fn top_up(id: &str, paid_tokens: u64, part_tokens: u64) -> LedgerRecord {
    LedgerRecord::new(LedgerEvent::TopUp {
        top_up_id: id.to_owned(),
        budget_id: "b".to_owned(),
        paid_tokens,
        split_tokens: BTreeMap::from([("plateau".to_owned(), part_tokens)]),
        operator_id: "awa".to_owned(),
    })
}

#[test]
fn ledger_counts_a_repeated_top_up_once() {
    let mut ledger = Ledger::default();

    ledger.apply(0, &top_up("t1", 50, 50)).unwrap();
    let changes = ledger.apply(1, &top_up("t1", 50, 50)).unwrap();

    assert!(changes.is_empty());
    assert_eq!(ledger.budgets["b"].paid_tokens, 50);
}

#[test]
fn ledger_refuses_an_unknown_record_version() {
    let mut ledger = Ledger::default();
    let mut record = top_up("t1", 50, 50);
    record.record_version = 999;

    let refused = ledger.apply(0, &record);

    assert_eq!(refused, Err(LedgerRecordError::UnknownVersion(999)));
    assert_eq!(ledger, Ledger::default());
}

#[test]
fn ledger_refuses_a_top_up_whose_parts_do_not_add_up() {
    let mut ledger = Ledger::default();

    let refused = ledger.apply(0, &top_up("t1", 50, 51));

    assert!(matches!(refused, Err(LedgerRecordError::SplitMismatch(_))));
}
