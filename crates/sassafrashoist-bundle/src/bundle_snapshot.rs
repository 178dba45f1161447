//! The state of the bundle stream at one offset, for a VM that cannot read the stream from its
//! start.

use serde::{Deserialize, Serialize};

use crate::bundle::Operator;
use crate::operator_change::OperatorChange;
use crate::signed_bundle::{BundleRefusal, SignedBundle};
use crate::validate_bundle::validate_bundle;
use sassafrashoist_core::ids::{BundleVersion, LogOffset};

/// The bundle active after a prefix of the stream, with the proof of which operators could sign it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleSnapshot {
    /// The active bundle.
    pub signed: SignedBundle,
    /// The offset after the last record that was applied.
    pub next_offset: LogOffset,
    /// Every accepted bundle that changed the operators, oldest first.
    pub operator_changes: Vec<OperatorChange>,
}

impl BundleSnapshot {
    /// Returns the version of the active bundle.
    pub fn version(&self) -> BundleVersion {
        self.signed.bundle.version
    }

    /// Verifies the chain of signatures from the root operators to the active bundle.
    ///
    /// # Errors
    ///
    /// Fails with the first reason to refuse the snapshot.
    pub fn verify(&self, root_operators: &[Operator]) -> Result<(), BundleRefusal> {
        let mut operators = root_operators;
        let mut signers = root_operators;
        let mut last_version = 0;
        for change in &self.operator_changes {
            if change.version() <= last_version || change.version() > self.version() {
                return Err(BundleRefusal::BrokenOperatorChain(change.version()));
            }
            change.verify(operators)?;
            last_version = change.version();
            if change.version() < self.version() {
                signers = &change.operators;
            }
            operators = &change.operators;
        }
        self.signed.verify(signers)?;
        if !has_same_operators(operators, &self.signed.bundle.operators) {
            return Err(BundleRefusal::BrokenOperatorChain(self.version()));
        }
        match validate_bundle(&self.signed.bundle).first() {
            Some(problem) => Err(BundleRefusal::Invalid(problem.to_string())),
            None => Ok(()),
        }
    }
}

/// Returns whether two lists hold the same operators, in any order.
pub fn has_same_operators(a: &[Operator], b: &[Operator]) -> bool {
    a.len() == b.len() && a.iter().all(|operator| b.contains(operator))
}
