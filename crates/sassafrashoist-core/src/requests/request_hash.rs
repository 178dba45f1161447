//! The hash that binds an idempotency key to a request's content.

use xxhash_rust::xxh3::xxh3_128;

/// The hash of a request's body.
pub type BodyHash = u128;

/// Hashes a request's body.
pub fn hash_body(body: &[u8]) -> BodyHash {
    xxh3_128(body)
}
