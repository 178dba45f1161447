use ed25519_dalek::SigningKey;
use proptest::prelude::*;
use sassafrashoist_bundle::bundle::{Bundle, Operator};
use sassafrashoist_bundle::operator_keys::encode_public_key;
use sassafrashoist_bundle::problem::format_problems;
use sassafrashoist_bundle::read_json::read_json;
use sassafrashoist_bundle::sample::build_sample_bundle;
use sassafrashoist_bundle::validate_bundle::validate_bundle;
use serde_json::Value;

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

    let report = format_problems("bundle.json", &validate_bundle(&bundle));

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

/// Replaces the `index`-th value of a JSON tree, in depth-first order.
fn replace_value(tree: &mut Value, index: &mut usize, with: &Value) {
    if *index == 0 {
        *tree = with.clone();
    }
    *index = index.wrapping_sub(1);
    match tree {
        Value::Array(items) => items.iter_mut().for_each(|item| replace_value(item, index, with)),
        Value::Object(fields) => {
            fields.values_mut().for_each(|field| replace_value(field, index, with));
        }
        _ => {}
    }
}

fn odd_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(serde_json::json!([])),
        Just(serde_json::json!({})),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,80}".prop_map(Value::from),
        Just(Value::from("fippu-main")),
    ]
}

proptest! {
    #[test]
    fn validation_of_a_mutated_bundle_reports_or_accepts_and_does_not_panic(
        index in 0..120usize,
        with in odd_value(),
    ) {
        let mut tree = serde_json::to_value(sample()).unwrap();
        replace_value(&mut tree, &mut index.clone(), &with);
        let text = serde_json::to_vec(&tree).unwrap();

        let decoded = read_json::<Bundle>(&text);

        if let Ok(bundle) = decoded {
            let problems = validate_bundle(&bundle);
            prop_assert!(problems.iter().all(|problem| !problem.json_path.is_empty()));
        }
    }

    #[test]
    fn validation_of_arbitrary_bytes_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let decoded = read_json::<Bundle>(&bytes);

        prop_assert!(decoded.is_err());
    }
}
