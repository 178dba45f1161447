//! The chain of accepted bundles, folded in the log's order: the rule by which every VM accepts the
//! same ones.
//!
//! A proposal names the version that it is based on. The first in the log's order that is based on
//! the version in force, and is signed and valid, is in force; a later one with the same base lost.
//! A chain that could not read the stream from its start, or that missed a part of it, is *not
//! anchored*: it cannot tell a winner from a loser, so it holds records back until a snapshot gives
//! it the bundle in force at some offset, and folds what it held from there. A snapshot never
//! brings an older bundle than the one in force.

use std::collections::BTreeMap;

use crate::bundle::Operator;
use crate::bundle_delta::SignedDelta;
use crate::bundle_record::BundleEvent;
use crate::bundle_snapshot::{BundleSnapshot, has_same_operators};
use crate::operator_change::OperatorChange;
use crate::signed_bundle::{BundleRefusal, SignedBundle};
use crate::validate_bundle::validate_bundle;
use sassafrashoist_core::ids::{BundleVersion, LogOffset, OperatorId};

/// Accepted versions whose authors are remembered, to name who won a race.
const MAX_REMEMBERED_AUTHORS: usize = 256;

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Folded {
    /// Its bundle is in force.
    Accepted,
    /// Its bundle is refused, and the one in force stays.
    Refused(BundleRefusal),
    /// It is a snapshot that told nothing new.
    Known,
    /// It cannot be judged before a snapshot is read.
    Held,
}

/// The chain of accepted bundles.
#[derive(Debug, Clone)]
pub struct BundleChain {
    root_operators: Vec<Operator>,
    in_force: Option<SignedBundle>,
    operator_changes: Vec<OperatorChange>,
    authors: BTreeMap<BundleVersion, OperatorId>,
    next_offset: LogOffset,
    gap: Option<Gap>,
    snapshot_offset: Option<LogOffset>,
}

/// A part of the stream that was not read, and what came after it.
#[derive(Debug, Clone)]
struct Gap {
    resumed_at: LogOffset,
    held: Vec<(LogOffset, BundleEvent)>,
}

impl BundleChain {
    /// Starts a chain; the root operators sign the first bundle.
    pub fn new(root_operators: Vec<Operator>) -> Self {
        Self {
            root_operators,
            in_force: None,
            operator_changes: Vec::new(),
            authors: BTreeMap::new(),
            next_offset: 0,
            gap: None,
            snapshot_offset: None,
        }
    }

    /// Returns the bundle in force.
    pub fn in_force(&self) -> Option<&SignedBundle> {
        self.in_force.as_ref()
    }

    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> BundleVersion {
        self.in_force.as_ref().map_or(0, |signed| signed.bundle.version)
    }

    /// Returns the offset of the next record to fold.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns whether every record can be judged.
    pub fn is_anchored(&self) -> bool {
        self.gap.is_none()
    }

    /// Returns the number of records folded since the last snapshot record.
    pub fn records_since_snapshot(&self) -> u64 {
        self.next_offset.saturating_sub(self.snapshot_offset.map_or(0, |offset| offset + 1))
    }

    /// Returns the offset of the last snapshot record.
    pub fn snapshot_offset(&self) -> Option<LogOffset> {
        self.snapshot_offset
    }

    /// Goes on at a later offset, because the records before it were trimmed.
    pub fn skip_to(&mut self, offset: LogOffset) {
        if offset <= self.next_offset {
            return;
        }
        self.next_offset = offset;
        self.gap = Some(Gap { resumed_at: offset, held: Vec::new() });
    }

    /// Passes over a record that cannot be decoded.
    pub fn skip_record(&mut self, offset: LogOffset) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Folds a record; one that was folded before is not folded again.
    pub fn fold(&mut self, offset: LogOffset, event: BundleEvent) -> Folded {
        if offset < self.next_offset {
            return Folded::Known;
        }
        if offset > self.next_offset {
            self.skip_to(offset);
        }
        if let BundleEvent::Snapshot(snapshot) = event {
            let folded = self.fold_snapshot(*snapshot);
            self.next_offset = self.next_offset.max(offset + 1);
            self.snapshot_offset = Some(offset);
            return folded;
        }
        self.next_offset = offset + 1;
        if let Some(gap) = &mut self.gap {
            gap.held.push((offset, event));
            return Folded::Held;
        }
        self.judge(event)
    }

    /// Takes over a snapshot; true when that put a newer bundle in force.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot is not signed by those who may, or names another bundle for the
    /// version in force.
    pub fn adopt(&mut self, snapshot: BundleSnapshot) -> Result<bool, BundleRefusal> {
        let version_before = self.version();
        let next_offset = snapshot.next_offset;
        if snapshot.version() == version_before {
            self.check_same(&snapshot)?;
        } else if snapshot.version() > version_before {
            self.check_not_folded(&snapshot)?;
            snapshot.verify(&self.root_operators)?;
            self.remember_author(&snapshot.signed);
            self.in_force = Some(snapshot.signed);
            self.operator_changes = snapshot.operator_changes;
        }
        self.close_gap(next_offset);
        Ok(self.version() > version_before)
    }

    /// Makes a snapshot; none before the first bundle and while records are held back.
    pub fn snapshot(&self) -> Option<BundleSnapshot> {
        if !self.is_anchored() {
            return None;
        }
        Some(BundleSnapshot {
            signed: self.in_force.clone()?,
            next_offset: self.next_offset,
            operator_changes: self.operator_changes.clone(),
        })
    }

    /// Decides whether a proposal would be accepted now.
    ///
    /// # Errors
    ///
    /// Fails with the reason to refuse it.
    pub fn check(&self, proposal: &SignedBundle) -> Result<(), BundleRefusal> {
        let operators = match &self.in_force {
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

    fn judge(&mut self, event: BundleEvent) -> Folded {
        let judged = match event {
            BundleEvent::Proposal(proposal) => Ok(*proposal),
            BundleEvent::Delta(delta) => self.rebuild(&delta),
            BundleEvent::Snapshot(_) => return Folded::Known,
        };
        match judged.and_then(|proposal| self.check(&proposal).map(|()| proposal)) {
            Ok(proposal) => {
                self.accept(proposal);
                Folded::Accepted
            }
            Err(refusal) => Folded::Refused(refusal),
        }
    }

    fn rebuild(&self, delta: &SignedDelta) -> Result<SignedBundle, BundleRefusal> {
        self.check_base(delta.delta.based_on_version)?;
        match &self.in_force {
            Some(base) if base.digest_sha256 == delta.base_digest_sha256 => Ok(delta.apply(base)),
            _ => Err(BundleRefusal::BaseDigestMismatch),
        }
    }

    fn accept(&mut self, proposal: SignedBundle) {
        let operators = match &self.in_force {
            Some(signed) => &signed.bundle.operators,
            None => &self.root_operators,
        };
        if !has_same_operators(operators, &proposal.bundle.operators) {
            self.operator_changes.push(OperatorChange::of(&proposal));
        }
        self.remember_author(&proposal);
        self.in_force = Some(proposal);
    }

    fn remember_author(&mut self, signed: &SignedBundle) {
        self.authors.insert(signed.bundle.version, signed.author.operator_id.clone());
        while self.authors.len() > MAX_REMEMBERED_AUTHORS {
            self.authors.pop_first();
        }
    }

    fn fold_snapshot(&mut self, snapshot: BundleSnapshot) -> Folded {
        match self.adopt(snapshot) {
            Ok(true) => Folded::Accepted,
            Ok(false) => Folded::Known,
            Err(refusal) => Folded::Refused(refusal),
        }
    }

    /// Judges what was held back, if the snapshot reaches up to where reading was resumed.
    fn close_gap(&mut self, snapshot_next_offset: LogOffset) {
        if let Some(gap) = self.gap.take() {
            if snapshot_next_offset < gap.resumed_at {
                self.gap = Some(gap);
                return;
            }
            for (offset, event) in gap.held {
                if offset >= snapshot_next_offset {
                    self.judge(event);
                }
            }
        }
        self.next_offset = self.next_offset.max(snapshot_next_offset);
    }

    fn check_same(&self, snapshot: &BundleSnapshot) -> Result<(), BundleRefusal> {
        let own_digest = self.in_force.as_ref().map(|signed| &signed.digest_sha256);
        if own_digest == Some(&snapshot.signed.digest_sha256) {
            return Ok(());
        }
        Err(BundleRefusal::OtherContent(snapshot.version()))
    }

    /// Refuses a newer version for a part of the stream that this chain has judged itself.
    fn check_not_folded(&self, snapshot: &BundleSnapshot) -> Result<(), BundleRefusal> {
        if self.is_anchored() && snapshot.next_offset <= self.next_offset && self.next_offset > 0 {
            return Err(BundleRefusal::NeverAccepted(snapshot.version()));
        }
        Ok(())
    }

    fn check_base(&self, based_on_version: BundleVersion) -> Result<(), BundleRefusal> {
        let version_in_force = self.version();
        if based_on_version == version_in_force {
            return Ok(());
        }
        if based_on_version > version_in_force {
            return Err(BundleRefusal::WrongBase { based_on_version, version_in_force });
        }
        let (winner_version, winner_operator_id) = self.find_winner(based_on_version + 1);
        Err(BundleRefusal::Lost { winner_version, winner_operator_id })
    }

    /// Returns the accepted version and its author, or those in force when it is forgotten.
    fn find_winner(&self, version: BundleVersion) -> (BundleVersion, OperatorId) {
        if let Some(author_id) = self.authors.get(&version) {
            return (version, author_id.clone());
        }
        let author_id = self.in_force.as_ref().map(|signed| signed.author.operator_id.clone());
        (self.version(), author_id.unwrap_or_default())
    }
}
