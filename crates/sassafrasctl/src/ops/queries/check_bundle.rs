//! Reads and validates bundle files.

use std::fs;
use std::path::Path;

use eyre::{Result, WrapErr, bail};
use serde::de::DeserializeOwned;

use sassafrashoist_bundle::bundle::Bundle;
use sassafrashoist_bundle::problem::format_problems;
use sassafrashoist_bundle::read_json::read_json;
use sassafrashoist_bundle::validate_bundle::validate_bundle;

/// Reads a bundle file and validates its content.
///
/// # Errors
///
/// Fails when the file cannot be read or decoded, or with all validation errors of the bundle.
pub fn check_bundle(path: &Path) -> Result<Bundle> {
    let bundle: Bundle = read_json_file(path)?;
    let problems = validate_bundle(&bundle);
    if !problems.is_empty() {
        bail!(format_problems(&path.display().to_string(), &problems));
    }
    Ok(bundle)
}

/// Reads a JSON file.
///
/// # Errors
///
/// Fails when the file cannot be read or decoded. A decoding error holds the path in the JSON and
/// what was expected there.
pub fn read_json_file<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let name = path.display().to_string();
    let text = fs::read(path).wrap_err_with(|| format!("failed to read {name}"))?;
    match read_json(&text) {
        Ok(value) => Ok(value),
        Err(problem) => bail!(format_problems(&name, &[problem])),
    }
}
