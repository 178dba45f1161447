//! Writes a sample bundle.

use std::fs;
use std::path::Path;

use eyre::{Result, WrapErr, ensure};

use crate::core::ctl_context::CtlContext;
use sassafrashoist_bundle::sample::build_sample_bundle;

/// Writes a sample bundle to a new file.
///
/// # Errors
///
/// Fails when the file exists or cannot be written.
pub fn init_bundle(context: &CtlContext, path: &Path) -> Result<()> {
    ensure!(!path.exists(), "{} exists already; name another file", path.display());
    let bundle = build_sample_bundle(context.settings.root_operators.clone());
    let text = serde_json::to_string_pretty(&bundle)?;
    fs::write(path, text).wrap_err_with(|| format!("failed to write {}", path.display()))
}
