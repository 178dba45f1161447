//! The prefix cache of an engine: the prefix that a prompt shares with a cached prompt needs no
//! prefill.

use std::collections::VecDeque;

use super::response_tokens::count_prompt_tokens;

/// A cache of prompts with a capacity in tokens; evicts the prompt that was added first.
#[derive(Debug)]
pub struct PrefixCache {
    prompts: VecDeque<String>,
    cached_tokens: u64,
    max_tokens: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(max_tokens: usize) -> Self {
        Self { prompts: VecDeque::new(), cached_tokens: 0, max_tokens: max_tokens as u64 }
    }

    /// Returns how many leading tokens of a prompt are cached.
    pub fn cached_prefix_tokens(&self, prompt: &str) -> u64 {
        let longest = self.prompts.iter().map(|cached| common_prefix_bytes(cached, prompt)).max();
        count_prompt_tokens(&prompt[..longest.unwrap_or(0)])
    }

    /// Adds a prompt and returns the evicted prompts, or `None` when it is already cached.
    pub fn insert(&mut self, prompt: &str) -> Option<Vec<String>> {
        if self.prompts.iter().any(|cached| cached == prompt) {
            return None;
        }
        let mut evicted = Vec::new();
        self.prompts.push_back(prompt.to_owned());
        self.cached_tokens += count_prompt_tokens(prompt);
        while self.cached_tokens > self.max_tokens {
            let Some(oldest) = self.prompts.pop_front() else {
                break;
            };
            self.cached_tokens -= count_prompt_tokens(&oldest);
            evicted.push(oldest);
        }
        Some(evicted)
    }
}

fn common_prefix_bytes(a: &str, b: &str) -> usize {
    let common = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    (0..=common).rev().find(|end| b.is_char_boundary(*end)).unwrap_or(0)
}
