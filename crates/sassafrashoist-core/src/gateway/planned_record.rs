//! A record to append, with the token changes that apply once it is in the log.

use super::Uptime;
use super::holder_record::HolderRecord;
use crate::ids::ClientAccountId;

/// A record to append, with the token changes that apply once it is in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRecord {
    /// The record.
    pub record: HolderRecord,
    pub(super) changes: Vec<(ClientAccountId, i64)>,
    pub(super) has_waiting_request: bool,
    pub(super) planned_at: Uptime,
}

impl PlannedRecord {
    /// Returns the tokens drawn for each account; negative if tokens are returned.
    pub fn changes(&self) -> &[(ClientAccountId, i64)] {
        &self.changes
    }

    /// Returns whether the record draws or returns tokens.
    pub fn moves_tokens(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns whether the record draws tokens.
    pub fn draws_tokens(&self) -> bool {
        self.changes.iter().any(|(_, change)| *change > 0)
    }

    /// Returns whether a request was waiting for the record when it was planned.
    pub fn has_waiting_request(&self) -> bool {
        self.has_waiting_request
    }
}
