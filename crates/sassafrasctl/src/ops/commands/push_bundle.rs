//! Proposes a signed and approved bundle to the fleet.

use eyre::{Result, WrapErr, bail, eyre};
use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_bundle_chain::read_bundle_chain;
use sassafrashoist_bundle::bundle_record::BundleRecord;
use sassafrashoist_bundle::diff_bundles::{diff_bundles, format_changes};
use sassafrashoist_bundle::signed_bundle::SignedBundle;
use sassafrashoist_core::ids::{BundleVersion, LogOffset};
use sassafrashoist_platform::streams::BUNDLE_STREAM;

/// An accepted bundle.
#[derive(Debug, Clone, Serialize)]
pub struct PushedBundle {
    /// Its version.
    pub version: BundleVersion,
    /// The offset of its record in the bundle stream.
    pub offset: LogOffset,
}

/// Appends a proposal of a bundle to the log and reads the log to find out whether it was accepted.
///
/// A bundle that was accepted before is reported as accepted and not proposed again.
///
/// # Errors
///
/// Fails with the reason for the refusal and, if there is an active bundle, with the differences
/// between it and the refused one.
pub async fn push_bundle(context: &CtlContext, signed: SignedBundle) -> Result<PushedBundle> {
    let before = read_bundle_chain(context).await?;
    if let Some(offset) = before.accepted_offset(&signed.digest_sha256) {
        return Ok(PushedBundle { version: signed.bundle.version, offset });
    }
    if let Err(refusal) = before.chain.check(&signed) {
        bail!(explain_refusal(&refusal.to_string(), before.chain.active_bundle(), &signed));
    }
    let record = BundleRecord::propose(before.chain.active_bundle(), signed.clone());
    let payload = serde_json::to_vec(&record)?;
    let expected = payload.clone();
    context
        .platform
        .append_once(BUNDLE_STREAM, payload, |found| found == expected.as_slice())
        .await
        .wrap_err(
            "failed to push the bundle; push it again, which first checks if it is in the log",
        )?;
    let after = read_bundle_chain(context).await?;
    match after.accepted_offset(&signed.digest_sha256) {
        Some(offset) => Ok(PushedBundle { version: signed.bundle.version, offset }),
        None => {
            let refusal = after.last_refusal(&signed.digest_sha256);
            let reason = refusal.unwrap_or("not found in the log; push it again");
            Err(eyre!(explain_refusal(reason, after.chain.active_bundle(), &signed)))
        }
    }
}

fn explain_refusal(reason: &str, active: Option<&SignedBundle>, signed: &SignedBundle) -> String {
    let Some(active) = active else {
        return reason.to_owned();
    };
    let changes = diff_bundles(&active.bundle, &signed.bundle);
    format!(
        "{reason}\nyour bundle differs from version {} in force by:\n{}",
        active.bundle.version,
        format_changes(&changes)
    )
}
