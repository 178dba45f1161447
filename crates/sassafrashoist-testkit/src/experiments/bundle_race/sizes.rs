//! Size and processing time of bundle records by the number of budgets, and memory of the member
//! table.

use std::fs;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};

use super::super::capacity::linear_fit::{Point, fit_line};
use super::super::report::ExperimentReport;
use crate::fleet::operators::{APPROVER_ID, AUTHOR_ID, operator_key, operators};
use sassafrashoist_bundle::account::Budget;
use sassafrashoist_bundle::bundle::Bundle;
use sassafrashoist_bundle::bundle_chain::BundleChain;
use sassafrashoist_bundle::bundle_record::BundleRecord;
use sassafrashoist_bundle::sample::build_sample_bundle;
use sassafrashoist_bundle::signed_bundle::SignedBundle;
use sassafrashoist_core::membership::member_table::MemberTable;
use sassafrashoist_core::membership::membership_timing::MembershipTiming;

/// Budgets of a bundle.
const BUDGET_COUNTS: [usize; 3] = [10_000, 20_000, 40_000];
/// Deltas applied for each measurement.
const DELTA_COUNT: u64 = 5;
/// VMs of the target fleet.
const TARGET_VM_COUNT: usize = 340;
/// Data centres of the target fleet.
const TARGET_DATA_CENTRE_COUNT: usize = 21;
/// Member tables built to measure the memory of one.
const TABLE_COUNT: usize = 100;
/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4_096;

/// Measures record sizes, the time to apply deltas, and the memory of a member table.
///
/// # Errors
///
/// Fails when the process's memory cannot be read.
pub fn measure(report: &mut ExperimentReport) -> Result<()> {
    // Measured first: memory freed by the bundles could be reused for the tables, and the resident
    // size would not grow.
    report.set("member_table_bytes_at_340_vms", measure_member_table()?);
    let mut full_bytes = Vec::new();
    let mut delta_bytes = Vec::new();
    let mut apply_ms = Vec::new();
    for count in BUDGET_COUNTS {
        let size = count as f64;
        let mut chain = BundleChain::new(operators());
        let record = BundleRecord::propose(None, build_version(1, count));
        full_bytes.push(Point { size, value: serde_json::to_vec(&record)?.len() as f64 });
        chain.apply_record(0, record.event);
        let mut apply_time = Duration::ZERO;
        for version in 2..2 + DELTA_COUNT {
            let record =
                BundleRecord::propose(chain.active_bundle(), build_version(version, count));
            if version == 2 {
                delta_bytes.push(Point { size, value: serde_json::to_vec(&record)?.len() as f64 });
            }
            let started_at = Instant::now();
            chain.apply_record(version - 1, record.event);
            apply_time += started_at.elapsed();
        }
        report.require(chain.version() == 1 + DELTA_COUNT, "every delta is accepted");
        let value = apply_time.as_secs_f64() * 1_000.0 / DELTA_COUNT as f64;
        apply_ms.push(Point { size, value });
    }
    report.set("whole_record_bytes_over_budgets", fit_line(&full_bytes));
    report.set("delta_record_bytes_over_budgets", fit_line(&delta_bytes));
    report.set("delta_fold_ms_over_budgets", fit_line(&apply_ms));
    Ok(())
}

fn build_version(version: u64, budget_count: usize) -> SignedBundle {
    let mut bundle: Bundle = build_sample_bundle(operators());
    bundle.version = version;
    bundle.based_on_version = version - 1;
    let account_id = bundle.client_accounts[0].id.clone();
    bundle.budgets.extend(
        (0..budget_count as u64 + version).map(|index| Budget {
            id: format!("budget-{index:07}"),
            account_id: account_id.clone(),
        }),
    );
    let mut signed = SignedBundle::sign(bundle, AUTHOR_ID, &operator_key(AUTHOR_ID));
    signed.approve(APPROVER_ID, &operator_key(APPROVER_ID));
    signed
}

fn measure_member_table() -> Result<usize> {
    let before = read_resident_bytes()?;
    let tables: Vec<MemberTable> = (0..TABLE_COUNT).map(|_| build_member_table()).collect();
    let after = read_resident_bytes()?;
    Ok(after.saturating_sub(before) / tables.len())
}

fn build_member_table() -> MemberTable {
    let own_id = "region-1-data-centre-0-vm-0".to_owned();
    let timing = MembershipTiming::default();
    let mut table = MemberTable::new(own_id, "region-1-data-centre-0".into(), 1, timing);
    for index in 1..TARGET_VM_COUNT {
        let data_centre_id = format!("region-1-data-centre-{}", index % TARGET_DATA_CENTRE_COUNT);
        table.add_peer(format!("{data_centre_id}-vm-{index}"), data_centre_id, Duration::ZERO);
    }
    table
}

fn read_resident_bytes() -> Result<usize> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("failed to read memory use")?;
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    Ok(pages.unwrap_or_default() * PAGE_BYTES)
}
