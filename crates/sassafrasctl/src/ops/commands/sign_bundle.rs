//! Signs a bundle as its author.

use eyre::{Result, bail};

use crate::core::ctl_context::CtlContext;
use sassafrashoist_bundle::bundle::Bundle;
use sassafrashoist_bundle::problem::format_problems;
use sassafrashoist_bundle::signed_bundle::SignedBundle;
use sassafrashoist_bundle::validate_bundle::validate_bundle;

/// Validates a bundle and signs it as its author.
///
/// # Errors
///
/// Fails with all validation errors of the bundle, or when the signing key cannot be read.
pub fn sign_bundle(context: &CtlContext, bundle: Bundle) -> Result<SignedBundle> {
    let problems = validate_bundle(&bundle);
    if !problems.is_empty() {
        bail!(format_problems("bundle", &problems));
    }
    let key = context.read_signing_key()?;
    Ok(SignedBundle::sign(bundle, &context.settings.operator_id, &key))
}
