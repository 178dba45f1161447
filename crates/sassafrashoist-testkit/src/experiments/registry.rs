//! The experiments by name.

use eyre::{Result, bail};

use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use super::{drain, path, retry_storm, router_crash};

/// The names of all experiments.
pub const EXPERIMENT_NAMES: &[&str] = &["drain", "path", "retry-storm", "router-crash"];

/// Runs an experiment.
///
/// # Errors
///
/// Fails when no experiment has the name or its fleet cannot start.
pub async fn run_experiment(name: &str, options: &ExperimentOptions) -> Result<ExperimentReport> {
    match name {
        "drain" => drain::run(options).await,
        "path" => path::run(options).await,
        "retry-storm" => retry_storm::run(options).await,
        "router-crash" => router_crash::run(options).await,
        _ => bail!("no experiment {name:?}; one of: {}", EXPERIMENT_NAMES.join(", ")),
    }
}
