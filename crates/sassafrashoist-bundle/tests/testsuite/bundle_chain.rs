use ed25519_dalek::SigningKey;
use sassafrashoist_bundle::bundle::{Bundle, Operator};
use sassafrashoist_bundle::bundle_chain::{BundleChain, RecordOutcome};
use sassafrashoist_bundle::bundle_record::BundleEvent;
use sassafrashoist_bundle::operator_keys::encode_public_key;
use sassafrashoist_bundle::sample::build_sample_bundle;
use sassafrashoist_bundle::signed_bundle::{BundleRefusal, SignedBundle};

fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

fn operators() -> Vec<Operator> {
    let operator = |id: &str, seed| Operator {
        id: id.to_owned(),
        public_key_base64: encode_public_key(&key(seed)),
    };
    vec![operator("awa", 1), operator("bram", 2)]
}

fn bundle(version: u64) -> Bundle {
    let mut bundle = build_sample_bundle(operators());
    bundle.version = version;
    bundle.based_on_version = version - 1;
    bundle
}

fn approved(bundle: Bundle) -> SignedBundle {
    let mut signed = SignedBundle::sign(bundle, "awa", &key(1));
    signed.approve("bram", &key(2));
    signed
}

fn proposal(signed: SignedBundle) -> BundleEvent {
    BundleEvent::Proposal(Box::new(signed))
}

#[test]
fn chain_accepts_an_approved_bundle() {
    let mut chain = BundleChain::new(operators());

    let outcome = chain.apply_record(0, proposal(approved(bundle(1))));

    assert_eq!(outcome, RecordOutcome::Accepted);
    assert_eq!(chain.active_bundle().unwrap().bundle.version, 1);
}

#[test]
fn chain_refuses_a_bundle_without_approval() {
    let mut chain = BundleChain::new(operators());
    let signed = SignedBundle::sign(bundle(1), "awa", &key(1));

    let refused = chain.apply_record(0, proposal(signed));

    assert_eq!(refused, RecordOutcome::Refused(BundleRefusal::NotApproved));
}

#[test]
fn chain_refuses_a_bundle_that_its_author_approved() {
    let mut chain = BundleChain::new(operators());
    let mut signed = SignedBundle::sign(bundle(1), "awa", &key(1));
    signed.approve("awa", &key(1));

    let refused = chain.apply_record(0, proposal(signed));

    assert_eq!(refused, RecordOutcome::Refused(BundleRefusal::SelfApproved("awa".into())));
}

#[test]
fn chain_refuses_a_bundle_changed_after_signing() {
    let mut chain = BundleChain::new(operators());
    let mut signed = approved(bundle(1));
    signed.bundle.budgets.clear();

    let refused = chain.apply_record(0, proposal(signed));

    assert_eq!(refused, RecordOutcome::Refused(BundleRefusal::DigestMismatch));
}

#[test]
fn chain_tells_the_second_of_two_racing_operators_who_won() {
    let mut chain = BundleChain::new(operators());
    let outcome = chain.apply_record(0, proposal(approved(bundle(1))));
    assert_eq!(outcome, RecordOutcome::Accepted);

    let refused = chain.apply_record(1, proposal(approved(bundle(1))));

    let expected = BundleRefusal::Lost { winner_version: 1, winner_operator_id: "awa".into() };
    assert_eq!(refused, RecordOutcome::Refused(expected));
}
