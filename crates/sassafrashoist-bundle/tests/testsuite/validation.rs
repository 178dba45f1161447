use ed25519_dalek::SigningKey;
use sassafrashoist_bundle::bundle::{Bundle, Operator};
use sassafrashoist_bundle::operator_keys::encode_public_key;
use sassafrashoist_bundle::problem::report_problems;
use sassafrashoist_bundle::sample::build_sample_bundle;
use sassafrashoist_bundle::validate_bundle::validate_bundle;

fn operators() -> Vec<Operator> {
    [("awa", 1), ("bram", 2)]
        .into_iter()
        .map(|(id, seed)| Operator {
            id: id.to_owned(),
            public_key_base64: encode_public_key(&SigningKey::from_bytes(&[seed; 32])),
        })
        .collect()
}

fn sample() -> Bundle {
    build_sample_bundle(operators())
}

#[test]
fn validation_accepts_the_sample() {
    let problems = validate_bundle(&sample());

    assert_eq!(problems, []);
}

#[test]
fn validation_reports_every_error_at_once() {
    let mut bundle = sample();
    bundle.routes[0].pool_id = "nowhere".into();
    bundle.routes[1].id = "appraisal".into();
    bundle.budgets[0].account_id = "nobody".into();
    bundle.routes[0].timeout = std::time::Duration::ZERO;

    let report = report_problems("bundle.json", &validate_bundle(&bundle));

    insta::assert_snapshot!(report, @r#"
    bundle.json: routes[1].id: id "appraisal" stands twice
    bundle.json: budgets[0].account_id: "nobody" does not exist in this bundle
    bundle.json: client_accounts[0].grants[0].budget_id: "fippu-main" is no budget of account "fippu"
    bundle.json: client_accounts[0].grants[1].route_id: "bid" does not exist in this bundle
    bundle.json: client_accounts[0].grants[1].budget_id: "fippu-main" is no budget of account "fippu"
    bundle.json: routes[0].pool_id: "nowhere" does not exist in this bundle
    bundle.json: routes[0].timeout_ms: expected 1 to 3600000
    "#);
}
