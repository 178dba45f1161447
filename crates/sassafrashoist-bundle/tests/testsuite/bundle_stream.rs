use std::collections::BTreeMap;

use proptest::prelude::*;
use sassafrashoist_bundle::bundle_chain::{BundleChain, RecordOutcome};
use sassafrashoist_bundle::bundle_record::{BundleEvent, BundleRecord};
use sassafrashoist_bundle::signed_bundle::BundleRefusal;

use crate::fixtures::{build_variant, operator, operators, sign};

/// One step of the stream or of a VM that reads it.
#[derive(Debug, Clone)]
enum Step {
    /// An operator proposes a bundle based on its last read, and may change the operators.
    Propose { author: u8, variant: u8, changes_operators: bool, is_duplicated: bool },
    /// An operator reads the stream.
    Read { author: u8 },
    /// A VM reads at most `count` records of the stream.
    Follow { vm: usize, count: usize },
    /// A VM writes a snapshot.
    Snapshot { vm: usize },
    /// A VM applies the snapshot of another VM.
    Repair { from: usize, to: usize },
    /// The log trims its oldest records.
    Trim { count: usize },
    /// A VM restarts with an empty chain.
    Restart { vm: usize },
}

const VM_COUNT: usize = 3;

/// The bundle stream; records before `earliest` were trimmed.
struct Stream {
    payloads: Vec<Vec<u8>>,
    earliest: usize,
}

impl Stream {
    fn follow(&self, chain: &mut BundleChain, count: usize) {
        chain.skip_to(self.earliest as u64);
        let from = chain.next_offset() as usize;
        for (offset, payload) in self.payloads.iter().enumerate().skip(from).take(count) {
            chain.apply_record(offset as u64, BundleRecord::decode(payload).unwrap());
        }
    }

    fn append(&mut self, record: &BundleRecord) {
        self.payloads.push(serde_json::to_vec(record).unwrap());
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..VM_COUNT;
    let step = prop_oneof![
        4 => (1..3u8, any::<u8>(), any::<bool>(), any::<bool>()).prop_map(
            |(author, variant, changes_operators, is_duplicated)| {
                Step::Propose { author, variant, changes_operators, is_duplicated }
            }
        ),
        2 => (1..3u8).prop_map(|author| Step::Read { author }),
        4 => (vm.clone(), 1..6usize).prop_map(|(vm, count)| Step::Follow { vm, count }),
        2 => vm.clone().prop_map(|vm| Step::Snapshot { vm }),
        1 => (vm.clone(), vm.clone()).prop_map(|(from, to)| Step::Repair { from, to }),
        1 => (1..4usize).prop_map(|count| Step::Trim { count }),
        1 => vm.prop_map(|vm| Step::Restart { vm }),
    ];
    prop::collection::vec(step, 1..40)
}

/// Records the active version of a chain, and fails if it went back or has a second digest.
fn check_version(
    digests: &mut BTreeMap<u64, String>,
    newest: &mut u64,
    chain: &BundleChain,
) -> Result<(), TestCaseError> {
    prop_assert!(chain.version() >= *newest, "{} after {}", chain.version(), newest);
    *newest = chain.version();
    if let Some(signed) = chain.active_bundle() {
        let digest = digests.entry(signed.bundle.version).or_insert(signed.digest_sha256.clone());
        prop_assert_eq!(&*digest, &signed.digest_sha256);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(192))]

    #[test]
    fn bundle_stream_gives_one_order_and_no_reversal_on_any_vm(steps in steps()) {
        let mut stream = Stream { payloads: Vec::new(), earliest: 0 };
        let mut reference = BundleChain::new(operators());
        let mut author_chains = [1, 2].map(|_| BundleChain::new(operators()));
        let mut vms = [0; VM_COUNT].map(|_| BundleChain::new(operators()));
        let mut newest = [0; VM_COUNT];
        let mut digests = BTreeMap::new();

        for step in &steps {
            match *step {
                Step::Propose { author, variant, changes_operators, is_duplicated } => {
                    let chain = &author_chains[usize::from(author) - 1];
                    let mut proposed_operators = operators();
                    if changes_operators {
                        proposed_operators.push(operator(variant));
                        proposed_operators.sort_by(|a, b| a.id.cmp(&b.id));
                        proposed_operators.dedup_by(|a, b| a.id == b.id);
                    }
                    let bundle = build_variant(chain.version() + 1, variant, proposed_operators);
                    let signed = sign(bundle, author, 3 - author);
                    let record = BundleRecord::propose(chain.active_bundle(), signed);
                    stream.append(&record);
                    if is_duplicated {
                        stream.append(&record);
                    }
                    stream.follow(&mut reference, usize::MAX);
                }
                Step::Read { author } => author_chains[usize::from(author) - 1] = reference.clone(),
                Step::Follow { vm, count } => stream.follow(&mut vms[vm], count),
                Step::Snapshot { vm } => {
                    if let Some(snapshot) = vms[vm].snapshot() {
                        stream.append(&BundleRecord::new(BundleEvent::Snapshot(Box::new(snapshot))));
                        stream.follow(&mut reference, usize::MAX);
                    }
                }
                Step::Repair { from, to } => {
                    if let Some(snapshot) = vms[from].snapshot() {
                        vms[to].adopt(snapshot).unwrap();
                    }
                }
                Step::Trim { count } => {
                    stream.earliest = (stream.earliest + count).min(stream.payloads.len());
                }
                Step::Restart { vm } => {
                    vms[vm] = BundleChain::new(operators());
                    newest[vm] = 0;
                }
            }
            check_version(&mut digests, &mut 0, &reference)?;
            for (vm, chain) in vms.iter().enumerate() {
                check_version(&mut digests, &mut newest[vm], chain)?;
            }
        }

        // A VM that reads to the end and applies a snapshot of a chain without gaps agrees with it.
        for chain in &mut vms {
            stream.follow(chain, usize::MAX);
            if let Some(snapshot) = reference.snapshot() {
                chain.adopt(snapshot).unwrap();
            }
            prop_assert_eq!(chain.active_bundle(), reference.active_bundle());
        }
    }

    #[test]
    fn bundle_record_decoder_does_not_panic_on_arbitrary_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let decoded = BundleRecord::decode(&bytes);

        prop_assert!(decoded.is_err());
    }

    #[test]
    fn bundle_record_with_a_changed_byte_is_never_accepted_as_another_bundle(
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let signed = sign(build_variant(1, 7, operators()), 1, 2);
        let mut payload =
            serde_json::to_vec(&BundleRecord::propose(None, signed.clone())).unwrap();
        let index = at.index(payload.len());
        payload[index] = byte;
        let mut chain = BundleChain::new(operators());

        if let Ok(event) = BundleRecord::decode(&payload) {
            chain.apply_record(0, event);
        }

        let active = chain.active_bundle().map(|accepted| &accepted.digest_sha256);
        prop_assert!(active.is_none() || active == Some(&signed.digest_sha256));
    }
}

fn accept_versions(chain: &mut BundleChain, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        let signed = sign(build_variant(version, version as u8, operators()), 1, 2);
        let record = BundleRecord::propose(chain.active_bundle(), signed);
        assert_eq!(chain.apply_record(chain.next_offset(), record.event), RecordOutcome::Accepted);
    }
}

#[test]
fn bundle_delta_is_smaller_than_the_bundle_and_rebuilds_it() {
    let mut chain = BundleChain::new(operators());
    accept_versions(&mut chain, 1..=1);
    let next = sign(build_variant(2, 9, operators()), 2, 1);

    let record = BundleRecord::propose(chain.active_bundle(), next.clone());
    let outcome = chain.apply_record(1, record.event.clone());

    assert!(matches!(record.event, BundleEvent::Delta(_)));
    assert_eq!(outcome, RecordOutcome::Accepted);
    assert_eq!(chain.active_bundle().unwrap().digest_sha256, next.digest_sha256);
}

#[test]
fn bundle_snapshot_proves_operators_who_came_after_the_root_operators() {
    let mut chain = BundleChain::new(operators());
    let later = vec![operator(3), operator(4)];
    let first = sign(build_variant(1, 1, later.clone()), 1, 2);
    chain.apply_record(0, BundleRecord::propose(None, first).event);
    let second = sign(build_variant(2, 2, later), 3, 4);
    chain.apply_record(1, BundleRecord::propose(chain.active_bundle(), second).event);
    let snapshot = chain.snapshot().unwrap();
    let mut fresh = BundleChain::new(operators());
    let mut forged = snapshot.clone();
    forged.operator_changes.clear();

    let refused = fresh.clone().adopt(forged);
    let adopted = fresh.adopt(snapshot);

    assert_eq!(refused, Err(BundleRefusal::UnknownAuthor("op-3".into())));
    assert_eq!(adopted, Ok(true));
    assert_eq!(fresh.version(), 2);
}

#[test]
fn bundle_snapshot_that_is_older_changes_nothing() {
    let mut chain = BundleChain::new(operators());
    accept_versions(&mut chain, 1..=1);
    let older = chain.snapshot().unwrap();
    accept_versions(&mut chain, 2..=3);

    let adopted = chain.adopt(older);

    assert_eq!(adopted, Ok(false));
    assert_eq!(chain.version(), 3);
}

#[test]
fn bundle_snapshot_of_a_bundle_that_lost_is_refused() {
    let mut chain = BundleChain::new(operators());
    accept_versions(&mut chain, 1..=1);
    let mut other = chain.clone();
    let lost = sign(build_variant(2, 99, operators()), 2, 1);
    other.apply_record(1, BundleRecord::propose(other.active_bundle(), lost).event);
    accept_versions(&mut chain, 2..=2);

    let refused = chain.adopt(other.snapshot().unwrap());

    assert_eq!(refused, Err(BundleRefusal::OtherContent(2)));
}

#[test]
fn bundle_chain_with_a_gap_defers_records_until_a_snapshot() {
    let mut chain = BundleChain::new(operators());
    accept_versions(&mut chain, 1..=2);
    let snapshot = chain.snapshot().unwrap();
    let third = sign(build_variant(3, 3, operators()), 1, 2);
    let record = BundleRecord::propose(chain.active_bundle(), third);
    let mut late = BundleChain::new(operators());
    late.skip_to(2);

    let deferred = late.apply_record(2, record.event);
    let outcome = late.apply_record(3, BundleEvent::Snapshot(Box::new(snapshot)));

    assert_eq!(deferred, RecordOutcome::Deferred);
    assert_eq!(outcome, RecordOutcome::Accepted);
    assert_eq!((late.version(), late.next_offset()), (3, 4));
}
