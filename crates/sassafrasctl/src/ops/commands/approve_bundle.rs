//! Approves another operator's bundle.

use eyre::{Result, ensure};

use crate::core::ctl_context::CtlContext;
use sassafrashoist_bundle::signed_bundle::{SignedBundle, digest_bundle};

/// Approves a signed bundle.
///
/// # Errors
///
/// Fails when the operator is the bundle's author, the bundle was changed after it was signed, or
/// the signing key cannot be read.
pub fn approve_bundle(context: &CtlContext, mut signed: SignedBundle) -> Result<SignedBundle> {
    let operator_id = &context.settings.operator_id;
    ensure!(
        signed.author.operator_id != *operator_id,
        "author {operator_id} cannot approve its own bundle; ask another operator"
    );
    ensure!(
        digest_bundle(&signed.bundle) == signed.digest_sha256,
        "bundle was changed after it was signed; sign it again"
    );
    signed.approve(operator_id, &context.read_signing_key()?);
    Ok(signed)
}
