//! The experiments by name.

use eyre::{Result, bail};

use super::backend_leaving;
use super::bundle_race;
use super::capacity;
use super::drain;
use super::options::ExperimentOptions;
use super::overload;
use super::path;
use super::report::ExperimentReport;
use super::router_crash;

/// The names of all experiments.
#[rustfmt::skip]
pub const EXPERIMENT_NAMES: &[&str] = &[
    "backend-leaving",
    "bundle-race",
    "capacity",
    "drain",
    "overload",
    "path",
    "router-crash",
];

/// Runs an experiment.
///
/// # Errors
///
/// Fails when no experiment has the name or its fleet cannot start.
pub async fn run_experiment(name: &str, options: &ExperimentOptions) -> Result<ExperimentReport> {
    match name {
        "backend-leaving" => backend_leaving::run(options).await,
        "bundle-race" => bundle_race::run(options).await,
        "capacity" => capacity::run(options).await,
        "drain" => drain::run(options).await,
        "overload" => overload::run(options).await,
        "path" => path::run(options).await,
        "router-crash" => router_crash::run(options).await,
        _ => bail!("no experiment {name:?}; one of: {}", EXPERIMENT_NAMES.join(", ")),
    }
}
