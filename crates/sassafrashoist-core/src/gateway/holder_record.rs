//! The record that one incarnation of a VM's process writes to the ledger.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::clock_reading::ClockReading;
use super::spending_limit::SpendingLimit;
use crate::ids::{ClientAccountId, DataCentreId, Tokens, VmId};

/// The tokens of one account at one holder. All counts are totals since the holder started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTokens {
    /// The account.
    pub account_id: ClientAccountId,
    /// Tokens drawn from the ledger minus tokens returned to it. Negative if tokens that were
    /// received from other holders were returned too.
    #[serde(rename = "granted_tokens")]
    pub net_drawn_tokens: i64,
    /// Tokens received from other holders.
    pub received_tokens: Tokens,
    /// Tokens sent to other holders.
    #[serde(rename = "given_tokens")]
    pub sent_tokens: Tokens,
    /// Tokens used, including those reserved by requests in progress.
    pub spent_tokens: Tokens,
    /// Upper bound of spent plus sent tokens while [`HolderRecord::limits_active_for`] lasts.
    #[serde(rename = "mark")]
    pub spending_limit: SpendingLimit,
    /// The recent rate of token use.
    pub use_tokens_per_s: Tokens,
}

impl HeldTokens {
    /// Returns the tokens that the holder may still use.
    pub fn available_tokens(&self) -> i64 {
        self.net_drawn_tokens + self.received_tokens as i64
            - self.sent_tokens as i64
            - self.spent_tokens as i64
    }

    /// Returns the tokens that the holder may use or send before it has to write a new record, not
    /// counting the growth of the spending limit.
    pub fn spendable_tokens(&self) -> i64 {
        let below_limit =
            self.spending_limit.tokens as i64 - self.spent_tokens as i64 - self.sent_tokens as i64;
        self.available_tokens().min(below_limit)
    }

    /// Returns the tokens that the holder cannot have used by the time `elapsed` after its record
    /// was first sent, because they exceed the spending limit.
    pub fn tokens_beyond_limit(&self, elapsed: Duration) -> i64 {
        let limit = self.spending_limit.tokens_after(elapsed) as i64;
        self.net_drawn_tokens + self.received_tokens as i64 - limit
    }
}

/// The record that one incarnation of a VM's process writes to the ledger. Only the newest record
/// of each holder counts.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// The address at which it serves other VMs.
    pub peer_address: SocketAddr,
    /// Numbers the records of this holder, so that it recognises its own in the log.
    pub sequence: u64,
    /// Whether the incarnation has ended and the tokens that it cannot have used were returned.
    pub is_closed: bool,
    /// When the holder first sent this record.
    pub sent_at: ClockReading,
    /// How long the spending limits are active, counted from `sent_at`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "marked_for_ms")]
    pub limits_active_for: Duration,
    /// Its tokens, by account.
    pub accounts: Vec<HeldTokens>,
}

impl HolderRecord {
    /// Returns the tokens of an account.
    pub fn account(&self, account_id: &str) -> Option<&HeldTokens> {
        self.accounts.iter().find(|held| held.account_id == account_id)
    }
}
