//! A bundle with its author's signature and its approval.
//!
//! The digest is that of the bundle's manifest, see [`crate::bundle_manifest`]. The author signs
//! the text `author:DIGEST`, the approver `approve:DIGEST`, so that neither signature can be used
//! in place of the other.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::bundle::{Bundle, Operator};
use crate::bundle_manifest::BundleManifest;
use crate::operator_keys::{is_signature_valid, sign_message};
use ed25519_dalek::SigningKey;
use sassafrashoist_core::ids::{BundleVersion, OperatorId};

/// A signature by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSignature {
    /// The operator who signed.
    pub operator_id: OperatorId,
    /// The signature, in base64.
    pub signature_base64: String,
}

/// A bundle with the signatures that a VM checks before it accepts it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The bundle.
    pub bundle: Bundle,
    /// The SHA-256 of the manifest, in hexadecimal.
    pub digest_sha256: String,
    /// The author's signature.
    pub author: OperatorSignature,
    /// The approval of another operator, once given.
    pub approval: Option<OperatorSignature>,
}

/// Why a bundle is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BundleRefusal {
    /// The content is not what was signed.
    #[error("digest does not match the content")]
    DigestMismatch,
    /// The author is not an operator of the active bundle.
    #[error("author {0} is not an operator of the bundle in force")]
    UnknownAuthor(OperatorId),
    /// The author's signature is invalid.
    #[error("signature of author {0} is invalid")]
    WrongAuthorSignature(OperatorId),
    /// No operator approved it.
    #[error("bundle is not approved")]
    NotApproved,
    /// Its author approved it, instead of another operator.
    #[error("bundle is approved by its own author {0}")]
    SelfApproved(OperatorId),
    /// The approver is not an operator of the active bundle.
    #[error("approver {0} is not an operator of the bundle in force")]
    UnknownApprover(OperatorId),
    /// The approver's signature is invalid.
    #[error("signature of approver {0} is invalid")]
    WrongApproverSignature(OperatorId),
    /// Another bundle with the same base came first in the log.
    #[error("lost to version {winner_version} by {winner_operator_id}")]
    Lost {
        /// The version in force.
        winner_version: BundleVersion,
        /// Its author.
        winner_operator_id: OperatorId,
    },
    /// It is based on a version that was never accepted.
    #[error("based on version {based_on_version}, but version {active_version} is in force")]
    WrongBase {
        /// The version it names.
        based_on_version: BundleVersion,
        /// The active version.
        #[serde(rename = "version_in_force")]
        active_version: BundleVersion,
    },
    /// The delta was made for a bundle that is not active.
    #[error("delta was made for another bundle than the one in force")]
    BaseDigestMismatch,
    /// The chain of operator changes in a snapshot is inconsistent.
    #[error("chain of operator changes is broken at version {0}")]
    BrokenOperatorChain(BundleVersion),
    /// Another bundle of the same version is active.
    #[error("another bundle of version {0} is in force")]
    OtherContent(BundleVersion),
    /// A snapshot holds a bundle that was never accepted.
    #[error("version {0} was never accepted")]
    NeverAccepted(BundleVersion),
    /// Its content is invalid.
    #[error("bundle is invalid: {0}")]
    Invalid(String),
}

/// Returns the digest of a bundle, in hexadecimal.
pub fn digest_bundle(bundle: &Bundle) -> String {
    BundleManifest::of(bundle).digest()
}

/// Checks the signatures of an author and of another operator over a digest.
///
/// # Errors
///
/// Fails with the first reason to refuse them.
pub fn verify_signatures(
    digest_sha256: &str,
    author: &OperatorSignature,
    approval: Option<&OperatorSignature>,
    operators: &[Operator],
) -> Result<(), BundleRefusal> {
    let author_id = &author.operator_id;
    let author_key = find_key(operators, author_id)
        .ok_or_else(|| BundleRefusal::UnknownAuthor(author_id.clone()))?;
    let message = author_message(digest_sha256);
    if !is_signature_valid(author_key, message.as_bytes(), &author.signature_base64) {
        return Err(BundleRefusal::WrongAuthorSignature(author_id.clone()));
    }
    let approval = approval.ok_or(BundleRefusal::NotApproved)?;
    let approver_id = &approval.operator_id;
    if approver_id == author_id {
        return Err(BundleRefusal::SelfApproved(approver_id.clone()));
    }
    let approver_key = find_key(operators, approver_id)
        .ok_or_else(|| BundleRefusal::UnknownApprover(approver_id.clone()))?;
    let message = approval_message(digest_sha256);
    if !is_signature_valid(approver_key, message.as_bytes(), &approval.signature_base64) {
        return Err(BundleRefusal::WrongApproverSignature(approver_id.clone()));
    }
    Ok(())
}

impl SignedBundle {
    /// Signs a bundle as its author.
    pub fn sign(bundle: Bundle, author_id: &str, key: &SigningKey) -> Self {
        let digest_sha256 = digest_bundle(&bundle);
        let signature_base64 = sign_message(key, author_message(&digest_sha256).as_bytes());
        let author = OperatorSignature { operator_id: author_id.to_owned(), signature_base64 };
        Self { bundle, digest_sha256, author, approval: None }
    }

    /// Adds the approval of another operator.
    pub fn approve(&mut self, approver_id: &str, key: &SigningKey) {
        let signature_base64 = sign_message(key, approval_message(&self.digest_sha256).as_bytes());
        self.approval =
            Some(OperatorSignature { operator_id: approver_id.to_owned(), signature_base64 });
    }

    /// Checks the digest, and the signatures against the operators of the active bundle.
    ///
    /// # Errors
    ///
    /// Fails with the first reason to refuse the bundle.
    pub fn verify(&self, operators: &[Operator]) -> Result<(), BundleRefusal> {
        if digest_bundle(&self.bundle) != self.digest_sha256 {
            return Err(BundleRefusal::DigestMismatch);
        }
        verify_signatures(&self.digest_sha256, &self.author, self.approval.as_ref(), operators)
    }
}

fn find_key<'a>(operators: &'a [Operator], operator_id: &str) -> Option<&'a str> {
    operators
        .iter()
        .find(|operator| operator.id == operator_id)
        .map(|operator| operator.public_key_base64.as_str())
}

fn author_message(digest: &str) -> String {
    format!("author:{digest}")
}

fn approval_message(digest: &str) -> String {
    format!("approve:{digest}")
}
