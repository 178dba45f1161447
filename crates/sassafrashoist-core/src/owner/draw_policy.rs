//! How many tokens a primary draws from its data centre's share.
//!
//! What is drawn can be spent while the log is out of reach, and is at stake when both holders of
//! the shard are lost. So a small share is drawn at once and a large one a part at a time, well
//! before the part in hand is used up.

use crate::budgets::policy::BudgetPolicy;
use crate::budgets::share::Share;
use crate::ids::Tokens;

/// A share up to this size is drawn at once.
const SMALL_SHARE_TOKENS: Tokens = 200_000;
/// A larger share is drawn in parts of one in this many.
const PARTS_PER_SHARE: u64 = 4;
/// A chunk without a backup is one in this many of the share.
const CHUNKS_PER_SHARE: u64 = 16;

/// Returns the tokens to draw now; 0 when enough are held.
///
/// `short_tokens` were missing in requests since the last draw.
pub fn choose_draw(
    policy: BudgetPolicy,
    share: &Share,
    held_tokens: Tokens,
    short_tokens: Tokens,
) -> Tokens {
    let ahead_tokens = match policy {
        BudgetPolicy::Pair => choose_ahead(share, held_tokens),
        BudgetPolicy::EvenSplit => share.undrawn_tokens(),
        BudgetPolicy::ChunkLease => choose_chunk(share, held_tokens),
        BudgetPolicy::ClaimPerRequest => 0,
    };
    ahead_tokens.max(short_tokens).min(share.undrawn_tokens())
}

fn choose_ahead(share: &Share, held_tokens: Tokens) -> Tokens {
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
