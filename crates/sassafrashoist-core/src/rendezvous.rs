//! Rendezvous hashing: every VM selects the same owner from the same candidates, with no shared
//! table.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the candidate whose combined hash with `key` is highest; `None` without candidates.
///
/// When a candidate leaves, only the keys that it owned get another owner.
pub fn choose_owner<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    candidates.into_iter().max_by_key(|candidate| score(seed, candidate))
}

/// Returns all candidates in order of their hash: the owner, then its successors.
pub fn rank_owners<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| std::cmp::Reverse(score(seed, candidate)));
    ranked
}

fn score(seed: u64, candidate: &str) -> (u64, &str) {
    (xxh3_64_with_seed(candidate.as_bytes(), seed), candidate)
}
