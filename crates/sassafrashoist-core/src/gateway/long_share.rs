//! The servers of a pool that long prompts prefer, as they concern one request.

/// The servers that long prompts prefer, and the kind of prompt of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LongShare {
    /// The highest rank of a server in the share.
    pub highest_rank: u64,
    /// Whether the prompt of the request is long.
    pub is_long: bool,
    /// The mean prefill of recent long prompts, in tokens.
    pub mean_long_tokens: f64,
}

impl LongShare {
    /// Returns whether a server of this rank is in the share.
    pub fn contains(self, rank: u64) -> bool {
        rank <= self.highest_rank
    }

    /// Returns whether the request prefers a server of this rank.
    pub fn prefers(self, rank: u64) -> bool {
        self.contains(rank) == self.is_long
    }
}
