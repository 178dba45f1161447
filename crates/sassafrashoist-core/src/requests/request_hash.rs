//! The hash that binds an idempotency key to a request's content.

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_128};

/// The hash of a request's body.
pub type BodyHash = u128;

/// The hash of the id of a part of a prompt.
pub type PromptPartKey = u64;

/// Hashes the id of a part of a prompt.
pub fn hash_prompt_part(id: &str) -> PromptPartKey {
    xxh3_64(id.as_bytes())
}

/// Hashes a request's body.
pub fn hash_body(body: &[u8]) -> BodyHash {
    xxh3_128(body)
}

/// Hashes the method, the path with its query, and the body of an HTTP request.
pub fn hash_request(method: &str, path: &str, body: &[u8]) -> BodyHash {
    let mut hash = Xxh3::new();
    for field in [method.as_bytes(), path.as_bytes()] {
        hash.update(field);
        hash.update(b"\n");
    }
    hash.update(body);
    hash.digest128()
}
