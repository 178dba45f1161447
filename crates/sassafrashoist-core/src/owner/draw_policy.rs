//! How many tokens a primary draws from its data centre's share.
//!
//! What is drawn can be spent while the log is out of reach, and is at stake when both holders of
//! the shard are lost. So a small share is drawn at once and a large one a part at a time, well
//! before the part in hand is used up.

use crate::budgets::share::Share;
use crate::ids::Tokens;

/// A share up to this size is drawn at once.
const SMALL_SHARE_TOKENS: Tokens = 200_000;
/// A larger share is drawn in parts of one in this many.
const PARTS_PER_SHARE: u64 = 4;

/// Returns the tokens to draw now; 0 when enough are held.
pub fn choose_draw(share: &Share, held_tokens: Tokens) -> Tokens {
    let undrawn_tokens = share.undrawn_tokens();
    if share.granted_tokens <= SMALL_SHARE_TOKENS {
        return undrawn_tokens;
    }
    let part_tokens = (share.granted_tokens / PARTS_PER_SHARE).max(SMALL_SHARE_TOKENS);
    if held_tokens >= part_tokens / 2 {
        return 0;
    }
    part_tokens.min(undrawn_tokens)
}
