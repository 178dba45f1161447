//! The experiments by name.

use eyre::{Result, bail};

use super::budget_exhaustion;
use super::budget_partition;
use super::capacity;
use super::options::ExperimentOptions;
use super::path;
use super::platform_outage;
use super::report::ExperimentReport;

/// The names of all experiments.
pub const EXPERIMENT_NAMES: &[&str] =
    &["budget-exhaustion", "budget-partition", "capacity", "path", "platform-outage"];

/// Runs an experiment.
///
/// # Errors
///
/// Fails when no experiment has the name or its fleet cannot start.
pub async fn run_experiment(name: &str, options: &ExperimentOptions) -> Result<ExperimentReport> {
    match name {
        "budget-exhaustion" => budget_exhaustion::run(options).await,
        "budget-partition" => budget_partition::run(options).await,
        "platform-outage" => platform_outage::run(options).await,
        "capacity" => capacity::run(options).await,
        "path" => path::run(options).await,
        _ => bail!("no experiment {name:?}; one of: {}", EXPERIMENT_NAMES.join(", ")),
    }
}
