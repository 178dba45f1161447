use ed25519_dalek::SigningKey;
use sassafrashoist_bundle::account::Budget;
use sassafrashoist_bundle::bundle::{Bundle, Operator};
use sassafrashoist_bundle::operator_keys::encode_public_key;
use sassafrashoist_bundle::sample::build_sample_bundle;
use sassafrashoist_bundle::signed_bundle::SignedBundle;

/// Returns the key of an operator, of whom `seed` is the number.
pub fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

pub fn operator(seed: u8) -> Operator {
    Operator { id: format!("op-{seed}"), public_key_base64: encode_public_key(&key(seed)) }
}

pub fn operators() -> Vec<Operator> {
    vec![operator(1), operator(2)]
}

/// Builds a version whose content depends on `mark`.
pub fn marked_bundle(version: u64, mark: u8, operators: Vec<Operator>) -> Bundle {
    let mut bundle = build_sample_bundle(operators);
    bundle.version = version;
    bundle.based_on_version = version - 1;
    bundle.budgets.push(Budget { id: format!("budget-{mark}"), account_id: "fippu".into() });
    bundle
}

pub fn sign(bundle: Bundle, author: u8, approver: u8) -> SignedBundle {
    let mut signed = SignedBundle::sign(bundle, &format!("op-{author}"), &key(author));
    signed.approve(&format!("op-{approver}"), &key(approver));
    signed
}
