//! Moves tokens to the data centres that use them, before they run short.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Tokens};

/// A data centre requests tokens when it holds less than this fraction of its target.
const REQUEST_BELOW_PER_MILLE: u128 = 800;
/// The fraction of all held tokens that is divided evenly, so that an idle data centre keeps some.
const EVEN_PER_MILLE: u128 = 100;

/// What a data centre reports of a budget for rebalancing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalanceReport {
    /// Tokens that no request has reserved.
    pub held_tokens: Tokens,
    /// Tokens settled in the recent past.
    pub recent_use_tokens: Tokens,
}

/// A number of tokens to request from another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RebalanceRequest {
    /// The data centre to request them from.
    pub data_centre_id: DataCentreId,
    /// The tokens.
    pub tokens: Tokens,
}

/// Returns the requests to the others that bring this data centre to its target.
///
/// The target is an even part plus a part in proportion to recent use. Only what the others hold
/// beyond their own targets is requested.
pub fn choose_rebalance_requests(
    own: BalanceReport,
    others: &[(DataCentreId, BalanceReport)],
) -> Vec<RebalanceRequest> {
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
    if own_held * 1_000 >= own_target * REQUEST_BELOW_PER_MILLE {
        return Vec::new();
    }
    let mut missing = own_target - own_held;
    let mut requests = Vec::new();
    for (data_centre_id, report) in others {
        let surplus = u128::from(report.held_tokens).saturating_sub(target(report));
        let tokens = surplus.min(missing);
        missing -= tokens;
        if tokens > 0 {
            requests.push(RebalanceRequest {
                data_centre_id: data_centre_id.clone(),
                tokens: tokens as Tokens,
            });
        }
    }
    requests
}
