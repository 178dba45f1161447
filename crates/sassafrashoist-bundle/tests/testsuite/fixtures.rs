use ed25519_dalek::SigningKey;
use sassafrashoist_bundle::account::Budget;
use sassafrashoist_bundle::bundle::{Bundle, Operator};
use sassafrashoist_bundle::operator_keys::encode_public_key;
use sassafrashoist_bundle::sample::build_sample_bundle;
use sassafrashoist_bundle::signed_bundle::SignedBundle;

/// Returns the signing key of operator number `seed`.
pub fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

pub fn operator(seed: u8) -> Operator {
    Operator { id: format!("op-{seed}"), public_key_base64: encode_public_key(&key(seed)) }
}

pub fn operators() -> Vec<Operator> {
    vec![operator(1), operator(2)]
}

/// Builds a bundle whose content depends on `variant`.
pub fn build_variant(version: u64, variant: u8, operators: Vec<Operator>) -> Bundle {
    let mut bundle = build_sample_bundle(operators);
    bundle.version = version;
    bundle.based_on_version = version - 1;
    bundle.budgets.push(Budget { id: format!("budget-{variant}"), account_id: "fippu".into() });
    bundle
}

pub fn sign(bundle: Bundle, author: u8, approver: u8) -> SignedBundle {
    let mut signed = SignedBundle::sign(bundle, &format!("op-{author}"), &key(author));
    signed.approve(&format!("op-{approver}"), &key(approver));
    signed
}
