//! The proof of which operators may sign, without the whole bundles that listed them.

use serde::{Deserialize, Serialize};

use crate::bundle::Operator;
use crate::bundle_manifest::BundleManifest;
use crate::signed_bundle::{BundleRefusal, OperatorSignature, SignedBundle, verify_signatures};
use sassafrashoist_core::ids::BundleVersion;

/// An accepted bundle that changed the operators, reduced to the parts that its signatures need.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorChange {
    /// The manifest of the bundle.
    pub manifest: BundleManifest,
    /// Its operators.
    pub operators: Vec<Operator>,
    /// The author's signature.
    pub author: OperatorSignature,
    /// The approval of another operator.
    pub approval: Option<OperatorSignature>,
}

impl OperatorChange {
    /// Extracts the operators and their proof from an accepted bundle.
    pub fn of(signed: &SignedBundle) -> Self {
        Self {
            manifest: BundleManifest::of(&signed.bundle),
            operators: signed.bundle.operators.clone(),
            author: signed.author.clone(),
            approval: signed.approval.clone(),
        }
    }

    /// Returns the version of the bundle.
    pub fn version(&self) -> BundleVersion {
        self.manifest.version
    }

    /// Checks that two of `operators`, those before the change, signed and approved it.
    ///
    /// # Errors
    ///
    /// Fails with the first reason to refuse the change.
    pub fn verify(&self, operators: &[Operator]) -> Result<(), BundleRefusal> {
        if !self.manifest.has_operators(&self.operators) {
            return Err(BundleRefusal::DigestMismatch);
        }
        let digest = self.manifest.digest();
        verify_signatures(&digest, &self.author, self.approval.as_ref(), operators)
    }
}
