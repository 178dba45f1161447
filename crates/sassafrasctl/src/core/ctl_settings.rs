//! The operator's settings file.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, bail};
use serde::{Deserialize, Serialize};

use sassafrashoist_bundle::bundle::Operator;
use sassafrashoist_bundle::problem::format_problems;
use sassafrashoist_bundle::read_json::read_json;
use sassafrashoist_core::ids::{OperatorId, VmId};

/// The settings of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CtlSettings {
    /// The operator's id.
    pub operator_id: OperatorId,
    /// The file with the operator's signing key, in base64.
    pub signing_key_file: PathBuf,
    /// The address of the platform.
    pub platform_address: SocketAddr,
    /// The admin address of each VM.
    pub vm_admin_addresses: BTreeMap<VmId, SocketAddr>,
    /// The operators who may sign the first bundle.
    pub root_operators: Vec<Operator>,
}

/// Reads an operator's settings file.
///
/// # Errors
///
/// Fails when the file cannot be read or decoded. A decoding error holds the path in the JSON and
/// what was expected there.
pub fn read_ctl_settings(path: &Path) -> Result<CtlSettings> {
    let name = path.display().to_string();
    let text = fs::read(path).wrap_err_with(|| format!("failed to read settings file {name}"))?;
    match read_json(&text) {
        Ok(settings) => Ok(settings),
        Err(problem) => bail!(format_problems(&name, &[problem])),
    }
}
