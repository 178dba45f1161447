//! How many tokens a primary draws from its data centre's share.
//!
//! Drawn tokens can be spent while the log is unreachable, but are stranded when the primary and
//! the backup of the shard both lose their state. So a small share is drawn at once, and a large
//! one in parts: the next part is drawn when less than half a part is still held.

use crate::budgets::policy::BudgetPolicy;
use crate::budgets::share::Share;
use crate::ids::Tokens;

/// A share of up to this size is drawn at once; it is also the smallest part of a larger share.
const SMALL_SHARE_TOKENS: Tokens = 200_000;
/// The number of parts in which a larger share is drawn.
const PARTS_PER_SHARE: u64 = 4;
/// The number of chunks in which a share without a backup is drawn.
const CHUNKS_PER_SHARE: u64 = 16;

/// Returns the tokens to draw now; 0 when enough are held.
///
/// `shortfall_tokens` is the largest number of tokens that a request lacked since the last draw.
pub fn choose_draw(
    policy: BudgetPolicy,
    share: &Share,
    held_tokens: Tokens,
    shortfall_tokens: Tokens,
) -> Tokens {
    let prefetch_tokens = match policy {
        BudgetPolicy::Pair => choose_prefetch(share, held_tokens),
        BudgetPolicy::EvenSplit => share.undrawn_tokens(),
        BudgetPolicy::ChunkLease => choose_chunk(share, held_tokens),
        BudgetPolicy::ClaimPerRequest => 0,
    };
    prefetch_tokens.max(shortfall_tokens).min(share.undrawn_tokens())
}

fn choose_prefetch(share: &Share, held_tokens: Tokens) -> Tokens {
    if share.granted_tokens <= SMALL_SHARE_TOKENS {
        return share.undrawn_tokens();
    }
    let part_tokens = (share.granted_tokens / PARTS_PER_SHARE).max(SMALL_SHARE_TOKENS);
    if held_tokens >= part_tokens / 2 { 0 } else { part_tokens }
}

fn choose_chunk(share: &Share, held_tokens: Tokens) -> Tokens {
    let chunk_tokens = share.granted_tokens.div_ceil(CHUNKS_PER_SHARE);
    if held_tokens >= chunk_tokens / 2 { 0 } else { chunk_tokens }
}
