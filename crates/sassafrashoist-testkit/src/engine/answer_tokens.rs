//! The tokens of an engine's answer, which follow from the prompt alone.

use sassafrashoist_core::requests::request_hash::hash_body;

/// Bytes of a prompt that make one token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens of a prompt.
pub fn count_prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns one token of the answer to a prompt.
pub fn answer_token(prompt: &str, index: u64) -> String {
    let hash = hash_body(format!("{index}:{prompt}").as_bytes());
    format!("w{:04} ", hash % 10_000)
}

/// Returns the whole answer of a given length to a prompt.
pub fn whole_answer(prompt: &str, token_count: u64) -> String {
    (0..token_count).map(|index| answer_token(prompt, index)).collect()
}
