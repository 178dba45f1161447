//! The experiments by name.

use eyre::{Result, bail};

use super::backend_leaving;
use super::budget_exhaustion;
use super::budget_partition;
use super::bundle_race;
use super::capacity;
use super::drain;
use super::options::ExperimentOptions;
use super::overload;
use super::path;
use super::platform_outage;
use super::poison;
use super::report::ExperimentReport;
use super::retry_storm;
use super::router_crash;

/// The names of all experiments.
#[rustfmt::skip]
pub const EXPERIMENT_NAMES: &[&str] = &[
    "backend-leaving",
    "budget-exhaustion",
    "budget-partition",
    "bundle-race",
    "capacity",
    "drain",
    "overload",
    "path",
    "platform-outage",
    "poison",
    "retry-storm",
    "router-crash",
];

/// Runs an experiment.
///
/// # Errors
///
/// Fails when the experiment is unknown or its fleet cannot start.
pub async fn run_experiment(name: &str, options: &ExperimentOptions) -> Result<ExperimentReport> {
    match name {
        "backend-leaving" => backend_leaving::run(options).await,
        "budget-exhaustion" => budget_exhaustion::run(options).await,
        "budget-partition" => budget_partition::run(options).await,
        "bundle-race" => bundle_race::run(options).await,
        "capacity" => capacity::run(options).await,
        "drain" => drain::run(options).await,
        "overload" => overload::run(options).await,
        "path" => path::run(options).await,
        "platform-outage" => platform_outage::run(options).await,
        "poison" => poison::run(options).await,
        "retry-storm" => retry_storm::run(options).await,
        "router-crash" => router_crash::run(options).await,
        _ => bail!("unknown experiment {name:?}; one of: {}", EXPERIMENT_NAMES.join(", ")),
    }
}
