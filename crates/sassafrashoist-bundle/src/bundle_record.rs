//! Records of the bundle stream, and the rule by which every VM accepts the same ones.

use serde::{Deserialize, Serialize};

use crate::bundle::Operator;
use crate::signed_bundle::{BundleRefusal, SignedBundle};
use crate::validate_bundle::validate_bundle;
use sassafrashoist_core::ids::LogOffset;

/// The record version that this code writes and reads.
pub const BUNDLE_RECORD_VERSION: u16 = 1;

/// One record of the bundle stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundleRecord {
    /// The version of the record's form.
    pub record_version: u16,
    /// The proposed bundle.
    pub proposal: SignedBundle,
}

impl BundleRecord {
    /// Wraps a proposal in the current version.
    pub fn new(proposal: SignedBundle) -> Self {
        Self { record_version: BUNDLE_RECORD_VERSION, proposal }
    }
}

/// The chain of accepted bundles, folded in the log's order.
#[derive(Debug, Clone)]
pub struct BundleChain {
    root_operators: Vec<Operator>,
    in_force: Option<SignedBundle>,
    /// The offset of the next record to fold.
    pub next_offset: LogOffset,
}

impl BundleChain {
    /// Starts a chain; the root operators sign the first bundle.
    pub fn new(root_operators: Vec<Operator>) -> Self {
        Self { root_operators, in_force: None, next_offset: 0 }
    }

    /// Returns the bundle in force.
    pub fn in_force(&self) -> Option<&SignedBundle> {
        self.in_force.as_ref()
    }

    /// Folds a proposal: it is in force afterwards, or refused with a reason.
    ///
    /// # Errors
    ///
    /// Fails with the reason; the bundle in force then stays.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        proposal: SignedBundle,
    ) -> Result<(), BundleRefusal> {
        self.next_offset = self.next_offset.max(offset + 1);
        self.check(&proposal)?;
        self.in_force = Some(proposal);
        Ok(())
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
        self.check_version(proposal)?;
        let problems = validate_bundle(&proposal.bundle);
        if let Some(problem) = problems.first() {
            return Err(BundleRefusal::Invalid(problem.to_string()));
        }
        Ok(())
    }

    fn check_version(&self, proposal: &SignedBundle) -> Result<(), BundleRefusal> {
        let version_in_force = self.in_force.as_ref().map_or(0, |signed| signed.bundle.version);
        let based_on_version = proposal.bundle.based_on_version;
        if based_on_version == version_in_force {
            return Ok(());
        }
        match &self.in_force {
            Some(winner) if based_on_version < version_in_force => Err(BundleRefusal::Lost {
                winner_version: version_in_force,
                winner_operator_id: winner.author.operator_id.clone(),
            }),
            _ => Err(BundleRefusal::WrongBase { based_on_version, version_in_force }),
        }
    }
}
