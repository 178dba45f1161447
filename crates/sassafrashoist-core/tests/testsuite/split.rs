use std::collections::BTreeMap;

use proptest::prelude::*;
use sassafrashoist_core::budgets::split::split_by_weight;

proptest! {
    #[test]
    fn split_adds_up_to_what_was_paid(
        tokens in any::<u64>(),
        weights in prop::collection::btree_map("[a-z]{1,4}", 0u64..1_000_000, 1..20),
    ) {
        let parts = split_by_weight(tokens, &weights);

        prop_assert_eq!(
            parts.values().map(|part| u128::from(*part)).sum::<u128>(),
            u128::from(tokens)
        );
        prop_assert!(parts.keys().eq(weights.keys()));
    }
}

#[test]
fn split_follows_weights() {
    let weights = BTreeMap::from([("a".to_owned(), 3), ("b".to_owned(), 1)]);

    let parts = split_by_weight(100, &weights);

    assert_eq!(parts, BTreeMap::from([("a".to_owned(), 75), ("b".to_owned(), 25)]));
}
