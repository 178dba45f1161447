//! The prompts whose first part an engine need not compute again.

use std::collections::VecDeque;

use super::answer_tokens::count_prompt_tokens;

/// A cache of prompts, the oldest dropped first, bounded in tokens.
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

    /// Returns how many of a prompt's tokens are cached.
    pub fn covered_tokens(&self, prompt: &str) -> u64 {
        let longest = self.prompts.iter().map(|cached| shared_bytes(cached, prompt)).max();
        count_prompt_tokens(&prompt[..longest.unwrap_or(0)])
    }

    /// Adds a prompt and returns those dropped for it, or `None` when it is cached already.
    pub fn insert(&mut self, prompt: &str) -> Option<Vec<String>> {
        if self.prompts.iter().any(|cached| cached == prompt) {
            return None;
        }
        let mut dropped = Vec::new();
        self.prompts.push_back(prompt.to_owned());
        self.cached_tokens += count_prompt_tokens(prompt);
        while self.cached_tokens > self.max_tokens {
            let Some(oldest) = self.prompts.pop_front() else {
                break;
            };
            self.cached_tokens -= count_prompt_tokens(&oldest);
            dropped.push(oldest);
        }
        Some(dropped)
    }
}

fn shared_bytes(a: &str, b: &str) -> usize {
    let shared = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    (0..=shared).rev().find(|end| b.is_char_boundary(*end)).unwrap_or(0)
}
