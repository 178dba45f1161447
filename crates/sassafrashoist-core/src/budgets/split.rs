//! Splitting of a top-up among data centres.

use std::collections::BTreeMap;

use crate::ids::{DataCentreId, Tokens};

/// Splits `tokens` among data centres by weight, or evenly if all weights are 0.
///
/// The parts add up exactly: the first data centres get one token more each until the remainder of
/// the division is used up.
pub fn split_by_weight(
    tokens: Tokens,
    weights: &BTreeMap<DataCentreId, u64>,
) -> BTreeMap<DataCentreId, Tokens> {
    let weight_sum: u128 = weights.values().map(|weight| u128::from(*weight)).sum();
    let is_even = weight_sum == 0;
    let divisor = if is_even { weights.len() as u128 } else { weight_sum };
    let mut parts = BTreeMap::new();
    for (data_centre_id, weight) in weights {
        let weight = if is_even { 1 } else { u128::from(*weight) };
        let part = u128::from(tokens) * weight / divisor;
        parts.insert(data_centre_id.clone(), part as Tokens);
    }
    let remainder = tokens - parts.values().sum::<Tokens>();
    for part in parts.values_mut().take(remainder as usize) {
        *part += 1;
    }
    parts
}
