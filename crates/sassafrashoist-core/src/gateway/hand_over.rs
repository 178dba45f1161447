//! Which VMs take in the tokens that a VM hands over without a request.

use super::token_holding::AccountTokens;
use crate::ids::Tokens;

/// The most tokens of one account that go to a single VM.
const MAX_UNDIVIDED_TOKENS: Tokens = 100_000;

/// Tokens that one message hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOver<R> {
    /// The VMs that may take in the tokens; the first one that accepts them does.
    pub receivers: Vec<R>,
    /// The tokens.
    pub tokens: Vec<AccountTokens>,
}

/// Distributes the tokens of accounts over the VMs of the own data centre, or over those of other
/// data centres if it has none, so that no VM takes in all and the failure of one strands only a
/// part. `random` is from 0 to 1.
pub fn plan_hand_overs<R: Clone>(
    nearby: &[R],
    remote: &[R],
    tokens: Vec<AccountTokens>,
    random: f64,
) -> Vec<HandOver<R>> {
    let (first_choice, others) =
        if nearby.is_empty() { (remote, nearby) } else { (nearby, remote) };
    let count = first_choice.len();
    if count == 0 {
        return Vec::new();
    }
    let start = (random * count as f64) as usize;
    let mut hand_overs: Vec<_> = (0..count)
        .map(|index| {
            let mut receivers = first_choice.to_vec();
            receivers.rotate_left((start + index) % count);
            receivers.extend_from_slice(others);
            HandOver { receivers, tokens: Vec::new() }
        })
        .collect();
    for (index, (account_id, tokens)) in tokens.into_iter().enumerate() {
        let part_count = if tokens > MAX_UNDIVIDED_TOKENS { count } else { 1 };
        let part = tokens / part_count as Tokens;
        for part_index in 0..part_count {
            let sent =
                if part_index == 0 { tokens - part * (part_count as Tokens - 1) } else { part };
            let hand_over = &mut hand_overs[(index + part_index) % count];
            hand_over.tokens.push((account_id.clone(), sent));
        }
    }
    hand_overs.retain(|hand_over| !hand_over.tokens.is_empty());
    hand_overs
}
