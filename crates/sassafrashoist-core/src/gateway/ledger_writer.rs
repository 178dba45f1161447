//! The append to the ledger that is in progress.
//!
//! At most one append is in progress. An append whose result is unknown stays pending until the
//! ledger shows its record, or shows that the topic has grown past the only offset at which the
//! record could have been appended. Until then, tokens that the record would draw cannot be used
//! yet, and tokens that it would return cannot be used any more.

use std::time::Duration;

use super::Uptime;
use super::allocator_vms::AllocatorVms;
use super::fleet_config::FleetConfig;
use super::planned_record::PlannedRecord;
use super::token_holding::TokenHolding;
use super::token_ledger::TokenLedger;
use crate::ids::LogOffset;

/// The age of a plan after which the record is planned anew: the spending limits in it count from
/// then, and last a few seconds.
const MAX_PLAN_AGE: Duration = Duration::from_millis(600);

/// The outcome of an append, as far as the response tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log.
    Appended,
    /// The log does not end at the expected offset: the record was appended by an earlier try, or
    /// never will be.
    EndMoved,
    /// This try did not append the record.
    NotAppended,
    /// No response came: the record may have been appended, or may still be.
    Unknown,
}

/// An append that has neither succeeded for certain nor become impossible.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingAppend {
    /// The record.
    pub planned: PlannedRecord,
    /// The offset at which the log has to end for the append to succeed.
    pub expected_end_offset: LogOffset,
    /// Whether a try got no response, so that the record may be appended at any time.
    is_in_doubt: bool,
}

/// The append to the ledger that is in progress.
#[derive(Debug, Default)]
pub struct LedgerWriter {
    pending: Option<PendingAppend>,
}

impl LedgerWriter {
    /// Returns the append in progress.
    pub fn pending(&self) -> Option<&PendingAppend> {
        self.pending.as_ref()
    }

    /// Starts an append; none may be in progress.
    pub fn begin(&mut self, planned: PlannedRecord, expected_end_offset: LogOffset) {
        debug_assert!(self.pending.is_none(), "one append at a time");
        self.pending = Some(PendingAppend { planned, expected_end_offset, is_in_doubt: false });
    }

    /// Returns whether the append waits for an end of the log that the log, having lost records,
    /// has yet to reach again.
    pub fn is_beyond_end(&self, ledger: &TokenLedger) -> bool {
        let expected = self.pending.as_ref().map(|pending| pending.expected_end_offset);
        expected.is_some_and(|expected| expected > ledger.end_offset())
    }

    /// Abandons the append in progress. Only for a holder without a record in the log: it returns
    /// no tokens, and what it would draw is not used.
    pub fn abandon_first(&mut self, holding: &mut TokenHolding) {
        if let Some(pending) = self.pending.take() {
            holding.abandon(&pending.planned);
        }
    }

    /// Moves a rejected append to the offset at which the log ends now; returns whether that is
    /// possible. A record that draws no tokens is valid whatever other holders appended before it.
    pub fn retarget(&mut self, end_offset: LogOffset) -> bool {
        let Some(pending) = &mut self.pending else {
            return false;
        };
        let is_possible = !pending.is_in_doubt
            && !pending.planned.draws_tokens()
            && end_offset > pending.expected_end_offset;
        if is_possible {
            pending.expected_end_offset = end_offset;
        }
        is_possible
    }

    /// Moves a rejected append to the end of the ledger, which was read since, if the ledger still
    /// covers what its record draws; returns whether it does. A VM that planned its record anew
    /// after each append of another VM would lose the race for the end of the ledger again and again.
    pub fn rebase(
        &mut self,
        ledger: &TokenLedger,
        config: &FleetConfig,
        holder_id: &str,
        now: Uptime,
    ) -> bool {
        let Some(pending) = &mut self.pending else {
            return false;
        };
        let planned = &pending.planned;
        let newest = ledger.newest_record(holder_id);
        let is_appended =
            newest.is_some_and(|(_, record)| record.sequence >= planned.record.sequence);
        let is_covered = planned.changes().iter().all(|(account_id, change)| {
            let paid_tokens = config.paid_tokens(account_id).unwrap_or_default() as i64;
            *change <= 0
                || ledger.net_drawn_tokens(account_id).saturating_add(*change) <= paid_tokens
        });
        let draws_tokens = planned.changes().iter().any(|(_, change)| *change > 0)
            && AllocatorVms::select(ledger).contains(&planned.record.vm_id);
        let is_possible = !pending.is_in_doubt
            && !is_appended
            && draws_tokens
            && is_covered
            && ledger.is_fully_readable()
            && ledger.end_offset() > pending.expected_end_offset
            && now < planned.planned_at + MAX_PLAN_AGE;
        if is_possible {
            pending.expected_end_offset = ledger.end_offset();
        }
        is_possible
    }

    /// Commits or abandons the append in progress if the ledger shows what became of it.
    pub fn resolve(&mut self, ledger: &TokenLedger, holding: &mut TokenHolding) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let newest = ledger.newest_record(holding.holder_id());
        let sequence = pending.planned.record.sequence;
        if newest.is_some_and(|(_, record)| record.sequence == sequence) {
            holding.commit(&pending.planned);
        } else if ledger.end_offset() > pending.expected_end_offset
            || !pending.is_in_doubt && ledger.end_offset() < pending.expected_end_offset
        {
            holding.abandon(&pending.planned);
        } else {
            self.pending = Some(pending);
        }
    }

    /// Records the outcome of a try of the append in progress; returns the append if its record is
    /// in the log.
    pub fn record_outcome(
        &mut self,
        outcome: AppendOutcome,
        holding: &mut TokenHolding,
    ) -> Option<PendingAppend> {
        let mut pending = self.pending.take()?;
        match outcome {
            AppendOutcome::Appended => {
                holding.commit(&pending.planned);
                return Some(pending);
            }
            AppendOutcome::NotAppended if !pending.is_in_doubt => holding.abandon(&pending.planned),
            AppendOutcome::NotAppended | AppendOutcome::EndMoved => self.pending = Some(pending),
            AppendOutcome::Unknown => {
                pending.is_in_doubt = true;
                self.pending = Some(pending);
            }
        }
        None
    }
}
