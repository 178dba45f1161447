//! What one run of a VM's process writes to the ledger.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::clock_reading::ClockReading;
use super::spending_mark::SpendingMark;
use crate::ids::{ClientAccountId, DataCentreId, Tokens, VmId};

/// The tokens of one account at one holder, all counted from its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTokens {
    /// The account.
    pub account_id: ClientAccountId,
    /// Tokens drawn from the ledger less those handed back; negative when received ones were handed
    /// back too.
    pub granted_tokens: i64,
    /// Tokens received from other holders.
    pub received_tokens: Tokens,
    /// Tokens given to other holders.
    pub given_tokens: Tokens,
    /// Tokens used, with those that requests in progress may still use.
    pub spent_tokens: Tokens,
    /// What used and given tokens together stay below until `marked_for` has passed.
    pub mark: SpendingMark,
    /// Tokens used a second of late.
    pub use_tokens_per_s: Tokens,
}

impl HeldTokens {
    /// Returns the tokens that the holder may still use.
    pub fn available_tokens(&self) -> i64 {
        self.granted_tokens + self.received_tokens as i64
            - self.given_tokens as i64
            - self.spent_tokens as i64
    }

    /// Returns the tokens that the holder may use or give before it has to write again.
    pub fn ready_tokens(&self) -> i64 {
        let below_mark =
            self.mark.tokens as i64 - self.spent_tokens as i64 - self.given_tokens as i64;
        self.available_tokens().min(below_mark)
    }

    /// Returns the tokens that the holder cannot have used within a time after its record was first
    /// sent.
    pub fn unmarked_tokens(&self, elapsed: Duration) -> i64 {
        let bound = self.mark.after(elapsed) as i64;
        self.granted_tokens + self.received_tokens as i64 - bound
    }
}

/// What one run of a VM's process writes to the ledger; the newest record of a holder counts.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Where it answers other VMs.
    pub peer_address: SocketAddr,
    /// Counts the records of this holder, so that it recognises its own.
    pub sequence: u64,
    /// Whether the run has ended, and what it could not have used was handed back.
    pub is_closed: bool,
    /// When the holder first sent this record.
    pub sent_at: ClockReading,
    /// How long after that the marks bind the holder.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "marked_for_ms")]
    pub marked_for: Duration,
    /// Its tokens.
    pub accounts: Vec<HeldTokens>,
}

impl HolderRecord {
    /// Returns the tokens of an account.
    pub fn account(&self, account_id: &str) -> Option<&HeldTokens> {
        self.accounts.iter().find(|held| held.account_id == account_id)
    }
}
