//! The chain of accepted bundles, built from the log's records in their order. Every VM applies
//! the same rule to the same records, so all accept the same bundles.
//!
//! A proposal names the version that it is based on. The first signed and valid proposal that is
//! based on the active version becomes active; a later one with the same base is refused. A chain
//! that could not read the stream from its start, or that missed a part of it, has a *gap*: it
//! cannot tell which of two proposals came first. It defers records until it gets a snapshot of the
//! state at the end of the gap or later, and then applies the deferred records that follow the
//! snapshot. A snapshot never replaces the active bundle with an older one.

use std::collections::BTreeMap;

use crate::bundle::Operator;
use crate::bundle_delta::SignedDelta;
use crate::bundle_record::BundleEvent;
use crate::bundle_snapshot::{BundleSnapshot, has_same_operators};
use crate::operator_change::OperatorChange;
use crate::signed_bundle::{BundleRefusal, SignedBundle};
use crate::validate_bundle::validate_bundle;
use sassafrashoist_core::ids::{BundleVersion, LogOffset, OperatorId};

/// Number of accepted versions whose authors are recorded, to name the winner in a refusal.
const MAX_RECORDED_AUTHORS: usize = 256;

/// The result of applying a record to the chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Its bundle is active.
    Accepted,
    /// Its bundle is refused, and the active one stays.
    Refused(BundleRefusal),
    /// It was applied before, or is a snapshot without a newer bundle.
    Unchanged,
    /// It cannot be decided until a snapshot closes the gap before it.
    Deferred,
}

/// The chain of accepted bundles.
#[derive(Debug, Clone)]
pub struct BundleChain {
    root_operators: Vec<Operator>,
    active_bundle: Option<SignedBundle>,
    operator_changes: Vec<OperatorChange>,
    authors: BTreeMap<BundleVersion, OperatorId>,
    next_offset: LogOffset,
    gap: Option<Gap>,
    snapshot_offset: Option<LogOffset>,
}

/// A part of the stream that was not read, and the undecided records after it.
#[derive(Debug, Clone)]
struct Gap {
    resumed_at: LogOffset,
    deferred: Vec<(LogOffset, BundleEvent)>,
}

impl BundleChain {
    /// Starts a chain; the root operators sign the first bundle.
    pub fn new(root_operators: Vec<Operator>) -> Self {
        Self {
            root_operators,
            active_bundle: None,
            operator_changes: Vec::new(),
            authors: BTreeMap::new(),
            next_offset: 0,
            gap: None,
            snapshot_offset: None,
        }
    }

    /// Returns the active bundle.
    pub fn active_bundle(&self) -> Option<&SignedBundle> {
        self.active_bundle.as_ref()
    }

    /// Returns the active version, 0 for none.
    pub fn version(&self) -> BundleVersion {
        self.active_bundle.as_ref().map_or(0, |signed| signed.bundle.version)
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns whether no part of the stream is missing, so that every record can be decided.
    pub fn is_gapless(&self) -> bool {
        self.gap.is_none()
    }

    /// Returns the number of records read or skipped since the last snapshot record.
    pub fn records_since_snapshot(&self) -> u64 {
        self.next_offset.saturating_sub(self.snapshot_offset.map_or(0, |offset| offset + 1))
    }

    /// Returns the offset of the last snapshot record.
    pub fn snapshot_offset(&self) -> Option<LogOffset> {
        self.snapshot_offset
    }

    /// Continues at a later offset, because the records before it were trimmed.
    pub fn skip_to(&mut self, offset: LogOffset) {
        if offset <= self.next_offset {
            return;
        }
        self.next_offset = offset;
        self.gap = Some(Gap { resumed_at: offset, deferred: Vec::new() });
    }

    /// Skips a record that cannot be decoded.
    pub fn skip_record(&mut self, offset: LogOffset) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Applies a record; one that was applied before is ignored.
    pub fn apply_record(&mut self, offset: LogOffset, event: BundleEvent) -> RecordOutcome {
        if offset < self.next_offset {
            return RecordOutcome::Unchanged;
        }
        if offset > self.next_offset {
            self.skip_to(offset);
        }
        if let BundleEvent::Snapshot(snapshot) = event {
            let outcome = self.apply_snapshot(*snapshot);
            self.next_offset = self.next_offset.max(offset + 1);
            self.snapshot_offset = Some(offset);
            return outcome;
        }
        self.next_offset = offset + 1;
        if let Some(gap) = &mut self.gap {
            gap.deferred.push((offset, event));
            return RecordOutcome::Deferred;
        }
        self.decide(event)
    }

    /// Applies a snapshot; returns whether a newer bundle became active.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot cannot be verified, holds another bundle of the active version, or
    /// holds a newer bundle that this chain never accepted.
    pub fn adopt(&mut self, snapshot: BundleSnapshot) -> Result<bool, BundleRefusal> {
        let version_before = self.version();
        let next_offset = snapshot.next_offset;
        if snapshot.version() == version_before {
            self.check_same_digest(&snapshot)?;
        } else if snapshot.version() > version_before {
            self.check_not_applied(&snapshot)?;
            snapshot.verify(&self.root_operators)?;
            self.record_author(&snapshot.signed);
            self.active_bundle = Some(snapshot.signed);
            self.operator_changes = snapshot.operator_changes;
        }
        self.close_gap(next_offset);
        Ok(self.version() > version_before)
    }

    /// Returns a snapshot; none before the first bundle and while there is a gap.
    pub fn snapshot(&self) -> Option<BundleSnapshot> {
        if !self.is_gapless() {
            return None;
        }
        Some(BundleSnapshot {
            signed: self.active_bundle.clone()?,
            next_offset: self.next_offset,
            operator_changes: self.operator_changes.clone(),
        })
    }

    /// Checks whether a proposal would be accepted now.
    ///
    /// # Errors
    ///
    /// Fails with the reason to refuse it.
    pub fn check(&self, proposal: &SignedBundle) -> Result<(), BundleRefusal> {
        let operators = match &self.active_bundle {
            Some(signed) => &signed.bundle.operators,
            None => &self.root_operators,
        };
        proposal.verify(operators)?;
        self.check_base(proposal.bundle.based_on_version)?;
        match validate_bundle(&proposal.bundle).first() {
            Some(problem) => Err(BundleRefusal::Invalid(problem.to_string())),
            None => Ok(()),
        }
    }

    fn decide(&mut self, event: BundleEvent) -> RecordOutcome {
        let rebuilt = match event {
            BundleEvent::Proposal(proposal) => Ok(*proposal),
            BundleEvent::Delta(delta) => self.rebuild_proposal(&delta),
            BundleEvent::Snapshot(_) => return RecordOutcome::Unchanged,
        };
        match rebuilt.and_then(|proposal| self.check(&proposal).map(|()| proposal)) {
            Ok(proposal) => {
                self.accept(proposal);
                RecordOutcome::Accepted
            }
            Err(refusal) => RecordOutcome::Refused(refusal),
        }
    }

    fn rebuild_proposal(&self, delta: &SignedDelta) -> Result<SignedBundle, BundleRefusal> {
        self.check_base(delta.delta.based_on_version)?;
        match &self.active_bundle {
            Some(base) if base.digest_sha256 == delta.base_digest_sha256 => Ok(delta.apply(base)),
            _ => Err(BundleRefusal::BaseDigestMismatch),
        }
    }

    fn accept(&mut self, proposal: SignedBundle) {
        let operators = match &self.active_bundle {
            Some(signed) => &signed.bundle.operators,
            None => &self.root_operators,
        };
        if !has_same_operators(operators, &proposal.bundle.operators) {
            self.operator_changes.push(OperatorChange::of(&proposal));
        }
        self.record_author(&proposal);
        self.active_bundle = Some(proposal);
    }

    fn record_author(&mut self, signed: &SignedBundle) {
        self.authors.insert(signed.bundle.version, signed.author.operator_id.clone());
        while self.authors.len() > MAX_RECORDED_AUTHORS {
            self.authors.pop_first();
        }
    }

    fn apply_snapshot(&mut self, snapshot: BundleSnapshot) -> RecordOutcome {
        match self.adopt(snapshot) {
            Ok(true) => RecordOutcome::Accepted,
            Ok(false) => RecordOutcome::Unchanged,
            Err(refusal) => RecordOutcome::Refused(refusal),
        }
    }

    /// Decides the deferred records, if the snapshot covers the stream up to the end of the gap.
    fn close_gap(&mut self, snapshot_next_offset: LogOffset) {
        if let Some(gap) = self.gap.take() {
            if snapshot_next_offset < gap.resumed_at {
                self.gap = Some(gap);
                return;
            }
            for (offset, event) in gap.deferred {
                if offset >= snapshot_next_offset {
                    self.decide(event);
                }
            }
        }
        self.next_offset = self.next_offset.max(snapshot_next_offset);
    }

    fn check_same_digest(&self, snapshot: &BundleSnapshot) -> Result<(), BundleRefusal> {
        let own_digest = self.active_bundle.as_ref().map(|signed| &signed.digest_sha256);
        if own_digest == Some(&snapshot.signed.digest_sha256) {
            return Ok(());
        }
        Err(BundleRefusal::OtherContent(snapshot.version()))
    }

    /// Refuses a newer version from a part of the stream that this chain has applied itself.
    fn check_not_applied(&self, snapshot: &BundleSnapshot) -> Result<(), BundleRefusal> {
        if self.is_gapless() && snapshot.next_offset <= self.next_offset && self.next_offset > 0 {
            return Err(BundleRefusal::NeverAccepted(snapshot.version()));
        }
        Ok(())
    }

    fn check_base(&self, based_on_version: BundleVersion) -> Result<(), BundleRefusal> {
        let active_version = self.version();
        if based_on_version == active_version {
            return Ok(());
        }
        if based_on_version > active_version {
            return Err(BundleRefusal::WrongBase { based_on_version, active_version });
        }
        let (winner_version, winner_operator_id) = self.find_winner(based_on_version + 1);
        Err(BundleRefusal::Lost { winner_version, winner_operator_id })
    }

    /// Returns `version`, which was accepted, and its author. If its author is no longer recorded,
    /// returns the active version and the author of that.
    fn find_winner(&self, version: BundleVersion) -> (BundleVersion, OperatorId) {
        if let Some(author_id) = self.authors.get(&version) {
            return (version, author_id.clone());
        }
        let author_id = self.active_bundle.as_ref().map(|signed| signed.author.operator_id.clone());
        (self.version(), author_id.unwrap_or_default())
    }
}
