//! Moves tokens to where they are used, before they are short there.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Tokens};

/// A data centre asks when it has less than this part of what its use calls for.
const ASK_BELOW_PER_MILLE: u128 = 800;
/// The part of all tokens that is spread evenly, so that a data centre without use keeps some.
const EVEN_PER_MILLE: u128 = 100;

/// What a data centre says of a budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalanceReport {
    /// Tokens that no request has claimed.
    pub held_tokens: Tokens,
    /// Tokens settled in the recent past.
    pub recent_use_tokens: Tokens,
}

/// Tokens to ask of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The data centre.
    pub data_centre_id: DataCentreId,
    /// The tokens.
    pub tokens: Tokens,
}

/// Returns what to ask of the others so that each has tokens in proportion to its use.
pub fn choose_asks(own: BalanceReport, others: &[(DataCentreId, BalanceReport)]) -> Vec<Ask> {
    let reports = others.iter().map(|(_, report)| *report).chain([own]);
    let held_sum: u128 = reports.clone().map(|report| u128::from(report.held_tokens)).sum();
    let use_sum: u128 = reports.map(|report| u128::from(report.recent_use_tokens)).sum();
    if own.recent_use_tokens == 0 {
        return Vec::new();
    }
    let target = |report: &BalanceReport| {
        let even = held_sum * EVEN_PER_MILLE / 1_000;
        let by_use = (held_sum - even) * u128::from(report.recent_use_tokens) / use_sum;
        even / (others.len() as u128 + 1) + by_use
    };
    let own_target = target(&own);
    let own_held = u128::from(own.held_tokens);
    if own_held * 1_000 >= own_target * ASK_BELOW_PER_MILLE {
        return Vec::new();
    }
    let mut missing = own_target - own_held;
    let mut asks = Vec::new();
    for (data_centre_id, report) in others {
        let surplus = u128::from(report.held_tokens).saturating_sub(target(report));
        let tokens = surplus.min(missing);
        missing -= tokens;
        if tokens > 0 {
            asks.push(Ask { data_centre_id: data_centre_id.clone(), tokens: tokens as Tokens });
        }
    }
    asks
}
