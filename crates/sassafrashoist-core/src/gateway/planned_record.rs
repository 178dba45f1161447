//! A record to append, and what it changes once it is in the log.

use super::Uptime;
use super::holder_record::HolderRecord;
use crate::ids::ClientAccountId;

/// A record to append, and what it changes once it is in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRecord {
    /// The record.
    pub record: HolderRecord,
    pub(super) changes: Vec<(ClientAccountId, i64)>,
    pub(super) is_wanted: bool,
    pub(super) planned_at: Uptime,
}

impl PlannedRecord {
    /// Returns the tokens drawn, or handed back if negative, of each account.
    pub fn changes(&self) -> &[(ClientAccountId, i64)] {
        &self.changes
    }

    /// Returns whether it draws or hands back tokens.
    pub fn moves_tokens(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns whether a request waits for it.
    pub fn is_wanted(&self) -> bool {
        self.is_wanted
    }
}
