//! The share of a pool's servers that long prompts prefer and short ones avoid.
//!
//! All VMs rank the servers alike by a hash, so that shares of different size are nested and VMs that
//! have seen another mix of work disagree about few servers only. Nothing is reserved: the share
//! enters the cost of a server. Addresses short prompts that miss their targets behind prompts of up
//! to 54,600 tokens which other VMs sent to the same server.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Uptime;
use crate::ids::Tokens;

/// The time within which recorded work decays to 1/e.
const MIX_DECAY: Duration = Duration::from_secs(20);
/// A prompt is long if its prefill takes more than this part of the shortest target latency.
const LONG_TARGET_FRACTION: f64 = 0.5;
/// The size of the share relative to the part of long prompts in the work, as VMs do not know each
/// other's long prompts. Short prompts keep at least half of the servers that their work would take.
const LONG_SIZE_FACTOR: f64 = 2.0;
/// The number of sizes of a share: with few, VMs that have seen a slightly different mix agree, and a
/// session seldom loses the server that it prefers.
const SHARE_STEPS: f64 = 8.0;

/// The recent mix of a pool's work, and the share of its servers that follows from it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PromptShares {
    long_tokens: f64,
    long_count: f64,
    short_tokens: f64,
    short_count: f64,
    updated_at: Uptime,
}

impl PromptShares {
    /// Returns whether a prompt is long. The whole prompt counts, as VMs would disagree about a
    /// session if its cached part did not.
    pub fn is_long(prompt_tokens: Tokens, shortest_target: Duration, tokens_per_ms: f64) -> bool {
        let limit_ms = shortest_target.as_secs_f64() * 1_000.0 * LONG_TARGET_FRACTION;
        prompt_tokens as f64 / tokens_per_ms > limit_ms
    }

    /// Returns the rank of a server: those with the lowest take long prompts.
    pub fn rank(server_id: &str) -> u64 {
        xxh3_64(server_id.as_bytes())
    }

    /// Records the prefill of a request.
    pub fn record(&mut self, tokens: Tokens, is_long: bool, now: Uptime) {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let kept = (-age_s / MIX_DECAY.as_secs_f64()).exp();
        for value in [
            &mut self.long_tokens,
            &mut self.long_count,
            &mut self.short_tokens,
            &mut self.short_count,
        ] {
            *value *= kept;
        }
        self.updated_at = now;
        let (total, count) = if is_long {
            (&mut self.long_tokens, &mut self.long_count)
        } else {
            (&mut self.short_tokens, &mut self.short_count)
        };
        *total += tokens as f64;
        *count += 1.0;
    }

    /// Returns the part of the recent work that is due to long prompts.
    pub fn long_part(&self) -> f64 {
        let total = self.long_tokens + self.short_tokens;
        if total > 0.0 { self.long_tokens / total } else { 0.0 }
    }

    /// Returns the mean prefill of recent long prompts, in tokens.
    pub fn mean_long_tokens(&self) -> f64 {
        if self.long_count > 0.0 { self.long_tokens / self.long_count } else { 0.0 }
    }

    /// Returns the mean prefill of all recent prompts, in tokens.
    pub fn mean_tokens(&self) -> f64 {
        let count = self.long_count + self.short_count;
        if count > 0.0 { (self.long_tokens + self.short_tokens) / count } else { 0.0 }
    }

    /// Returns the highest rank in the share among servers with these ranks; `None` if no server
    /// takes long prompts in preference. Each kind of prompt keeps a server if it has any work.
    pub fn highest_long_rank(&self, ranks: &mut [u64]) -> Option<u64> {
        let part = self.long_part();
        if part <= 0.0 || ranks.len() < 2 {
            return None;
        }
        let part = (part * LONG_SIZE_FACTOR).min((1.0 + part) / 2.0);
        let part = (part * SHARE_STEPS).ceil() / SHARE_STEPS;
        let size = (part * ranks.len() as f64).round() as usize;
        let size = size.clamp(1, ranks.len() - 1);
        Some(*ranks.select_nth_unstable(size - 1).1)
    }
}
