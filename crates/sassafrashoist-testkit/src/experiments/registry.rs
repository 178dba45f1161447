//! The experiments by name.

use eyre::{Result, bail};

use super::options::ExperimentOptions;
use super::overload;
use super::path;
use super::report::ExperimentReport;

/// The names of all experiments.
pub const EXPERIMENT_NAMES: &[&str] = &["overload", "path"];

/// Runs an experiment.
///
/// # Errors
///
/// Fails when no experiment has the name or its fleet cannot start.
pub async fn run_experiment(name: &str, options: &ExperimentOptions) -> Result<ExperimentReport> {
    match name {
        "overload" => overload::run(options).await,
        "path" => path::run(options).await,
        _ => bail!("no experiment {name:?}; one of: {}", EXPERIMENT_NAMES.join(", ")),
    }
}
