//! Reads and checks a settings file.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};

use crate::core::settings::Settings;
use sassafrashoist_bundle::operator_keys::decode_public_key;
use sassafrashoist_bundle::problem::{Problem, format_problems};
use sassafrashoist_bundle::read_json::read_json;

/// The longest drain timeout that a settings file may set.
const MAX_DRAIN_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails with every problem in the file, each with its JSON path and what was expected.
pub fn check_settings(path: &Path) -> Result<Settings> {
    let name = path.display().to_string();
    let text = fs::read(path).wrap_err_with(|| format!("failed to read settings file {name}"))?;
    let settings: Settings = match read_json(&text) {
        Ok(settings) => settings,
        Err(problem) => bail!(format_problems(&name, &[problem])),
    };
    let problems = find_problems(&settings);
    if !problems.is_empty() {
        bail!(format_problems(&name, &problems));
    }
    Ok(settings)
}

/// Returns every problem in decoded settings.
pub fn find_problems(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    if settings.vm_id.is_empty() {
        problems.push(Problem::new("vm_id", "expected an id"));
    }
    if settings.data_centre_id.is_empty() {
        problems.push(Problem::new("data_centre_id", "expected an id"));
    }
    if settings.drain_timeout.is_zero() || settings.drain_timeout > MAX_DRAIN_TIMEOUT {
        let expected = format!("expected 1 to {}", MAX_DRAIN_TIMEOUT.as_millis());
        problems.push(Problem::new("drain_bound_ms", expected));
    }
    check_peers(settings, &mut problems);
    check_operators(settings, &mut problems);
    problems
}

fn check_peers(settings: &Settings, problems: &mut Vec<Problem>) {
    let mut seen = BTreeSet::from([settings.vm_id.as_str()]);
    for (index, peer) in settings.peers.iter().enumerate() {
        let path = format!("peers[{index}].vm_id");
        if peer.vm_id.is_empty() {
            problems.push(Problem::new(&path, "expected an id"));
        }
        if !seen.insert(&peer.vm_id) {
            problems.push(Problem::new(&path, format!("id {:?} stands twice", peer.vm_id)));
        }
    }
}

fn check_operators(settings: &Settings, problems: &mut Vec<Problem>) {
    if settings.root_operators.len() < 2 {
        let expected = "expected two or more, so that one can approve";
        problems.push(Problem::new("root_operators", expected));
    }
    let mut seen = BTreeSet::new();
    for (index, operator) in settings.root_operators.iter().enumerate() {
        let path = format!("root_operators[{index}]");
        if !seen.insert(&operator.id) {
            let message = format!("id {:?} stands twice", operator.id);
            problems.push(Problem::new(format!("{path}.id"), message));
        }
        if let Err(error) = decode_public_key(&operator.public_key_base64) {
            problems.push(Problem::new(format!("{path}.public_key_base64"), error.to_string()));
        }
    }
}
