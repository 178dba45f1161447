//! Rendezvous hashing: every VM picks the same owner from the same list, without a table.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the candidate with the highest hash together with `key`.
///
/// When a candidate leaves, only the keys that it owned move.
pub fn choose_owner<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    candidates.into_iter().max_by_key(|candidate| score(seed, candidate))
}

/// Returns all candidates, the owner first and then its successors in order.
pub fn rank_owners<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(score(seed, candidate)));
    ranked
}

fn score(seed: u64, candidate: &str) -> (u64, &str) {
    (xxh3_64_with_seed(candidate.as_bytes(), seed), candidate)
}
