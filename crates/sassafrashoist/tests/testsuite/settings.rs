use std::io::Write;
use std::path::PathBuf;

use sassafrashoist::ops::check_settings::check_settings;

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("{name}-{}.json", std::process::id()));
    std::fs::File::create(&path).unwrap().write_all(text.as_bytes()).unwrap();
    path
}

fn check_text(name: &str, text: &str) -> String {
    let path = write_settings(name, text);
    let message = format!("{:#}", check_settings(&path).unwrap_err());
    std::fs::remove_file(&path).unwrap();
    message.replace(&path.display().to_string(), "FILE")
}

const TWO_ERRORS: &str = r#"{
    "vm_id": "", "data_centre_id": "plateau",
    "caller_address": "127.0.0.1:1", "admin_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3", "platform_address": "127.0.0.1:4",
    "root_operators": [], "drain_bound_ms": 0
}"#;

#[test]
fn settings_report_every_error_at_once() {
    let message = check_text("two-errors", TWO_ERRORS);

    insta::assert_snapshot!(message, @r"
    FILE: vm_id: expected an id
    FILE: drain_bound_ms: expected 1 to 3600000
    FILE: root_operators: expected two or more, so that one can approve
    ");
}

#[test]
fn settings_refuse_an_unknown_field() {
    let message = check_text("unknown-field", r#"{"vm_idd": "x"}"#);

    assert!(message.contains("FILE: vm_idd: unknown field `vm_idd`"), "{message}");
}

#[test]
fn settings_refuse_a_truncated_file() {
    let message = check_text("truncated", r#"{"vm_id": "#);

    assert!(message.contains("FILE: vm_id: EOF"), "{message}");
}
