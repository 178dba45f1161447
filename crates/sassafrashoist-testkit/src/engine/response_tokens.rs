//! The tokens of an engine's response, a deterministic function of the prompt.

use sassafrashoist_core::requests::request_hash::hash_body;

/// Prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens of a prompt.
pub fn count_prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns one token of the response to a prompt.
pub fn response_token(prompt: &str, index: u64) -> String {
    let hash = hash_body(format!("{index}:{prompt}").as_bytes());
    format!("w{:04} ", hash % 10_000)
}

/// Returns the complete response to a prompt, with a given number of tokens.
pub fn response_text(prompt: &str, token_count: u64) -> String {
    (0..token_count).map(|index| response_token(prompt, index)).collect()
}
