//! `capacity`: slopes of memory, processor time and traffic, for docs/CAPACITY.md.
//!
//! Routers run in processes of their own ([`crate::child_router`]); the stand-ins and callers run
//! in the measuring process, so their cost is not included. Each figure is measured at three sizes
//! and reported as the slope of a linear fit with its coefficient of determination.

mod bundle_size;
mod idle_fleet;
mod ledger_size;
pub mod linear_fit;
mod request_cost;

use eyre::Result;

use super::options::ExperimentOptions;
use super::report::ExperimentReport;

/// Runs every measurement.
///
/// # Errors
///
/// Fails when a router cannot start or does not become ready.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let mut report = ExperimentReport::new("capacity", options.seed);
    bundle_size::measure(&mut report).await?;
    ledger_size::measure(&mut report).await?;
    request_cost::measure(&mut report).await?;
    idle_fleet::measure(&mut report).await?;
    Ok(report)
}
