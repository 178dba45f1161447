//! The experiments by name.

use eyre::{Result, bail};

use super::capacity;
use super::drain;
use super::options::ExperimentOptions;
use super::path;
use super::poison;
use super::report::ExperimentReport;
use super::retry_storm;
use super::router_crash;

/// The names of all experiments.
#[rustfmt::skip]
pub const EXPERIMENT_NAMES: &[&str] = &[
    "capacity",
    "drain",
    "path",
    "poison",
    "retry-storm",
    "router-crash",
];

/// Runs an experiment.
///
/// # Errors
///
/// Fails when no experiment has the name or its fleet cannot start.
pub async fn run_experiment(name: &str, options: &ExperimentOptions) -> Result<ExperimentReport> {
    match name {
        "capacity" => capacity::run(options).await,
        "drain" => drain::run(options).await,
        "path" => path::run(options).await,
        "poison" => poison::run(options).await,
        "retry-storm" => retry_storm::run(options).await,
        "router-crash" => router_crash::run(options).await,
        _ => bail!("no experiment {name:?}; one of: {}", EXPERIMENT_NAMES.join(", ")),
    }
}
