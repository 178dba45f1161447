//! The proof of who may sign, without the bundles that said so.

use serde::{Deserialize, Serialize};

use crate::bundle::Operator;
use crate::bundle_manifest::BundleManifest;
use crate::signed_bundle::{BundleRefusal, OperatorSignature, SignedBundle, verify_signatures};
use sassafrashoist_core::ids::BundleVersion;

/// An accepted bundle that changed the operators, reduced to what proves it.
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
    /// Reduces an accepted bundle.
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

    /// Checks that the operators before it signed it.
    ///
    /// # Errors
    ///
    /// Fails with the first reason to refuse it.
    pub fn verify(&self, operators: &[Operator]) -> Result<(), BundleRefusal> {
        if !self.manifest.has_operators(&self.operators) {
            return Err(BundleRefusal::DigestMismatch);
        }
        let digest = self.manifest.digest();
        verify_signatures(&digest, &self.author, self.approval.as_ref(), operators)
    }
}
