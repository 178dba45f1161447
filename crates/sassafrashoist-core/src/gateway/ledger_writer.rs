//! The append to the ledger that is in progress.
//!
//! One append is in progress at a time. One whose fate is not known stays pending until the ledger
//! shows its record, or shows that the topic has grown past the place where it could have gone; what
//! it would draw is not used before, and what it would hand back is not used any more.

use super::planned_record::PlannedRecord;
use super::token_holding::TokenHolding;
use super::token_ledger::TokenLedger;
use crate::ids::LogOffset;

/// What became of an append, as far as the answer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendAnswer {
    /// It is in the log.
    Done,
    /// The log ends elsewhere: it was done before, or never will be.
    EndMoved,
    /// It was not done this time.
    NotDone,
    /// No answer came: it may have been done, or may be later.
    Unknown,
}

/// An append that is not known to be done or to be impossible.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingAppend {
    /// The record.
    pub planned: PlannedRecord,
    /// Where the log has to end for it.
    pub at: LogOffset,
    /// Whether it was sent without an answer, so that it may be done at any time.
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
    pub fn begin(&mut self, planned: PlannedRecord, at: LogOffset) {
        debug_assert!(self.pending.is_none(), "one append at a time");
        self.pending = Some(PendingAppend { planned, at, is_in_doubt: false });
    }

    /// Closes the append in progress if the ledger shows its fate.
    pub fn resolve(&mut self, ledger: &TokenLedger, holding: &mut TokenHolding) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let own = ledger.holder(holding.holder_id());
        let sequence = pending.planned.record.sequence;
        if own.is_some_and(|(_, record)| record.sequence == sequence) {
            holding.commit(&pending.planned);
        } else if ledger.end() > pending.at {
            holding.abandon(&pending.planned);
        } else {
            self.pending = Some(pending);
        }
    }

    /// Takes the answer to the append in progress; returns it if that is done.
    pub fn record_answer(
        &mut self,
        answer: AppendAnswer,
        holding: &mut TokenHolding,
    ) -> Option<PendingAppend> {
        let mut pending = self.pending.take()?;
        match answer {
            AppendAnswer::Done => {
                holding.commit(&pending.planned);
                return Some(pending);
            }
            AppendAnswer::NotDone if !pending.is_in_doubt => holding.abandon(&pending.planned),
            AppendAnswer::NotDone | AppendAnswer::EndMoved => self.pending = Some(pending),
            AppendAnswer::Unknown => {
                pending.is_in_doubt = true;
                self.pending = Some(pending);
            }
        }
        None
    }
}
