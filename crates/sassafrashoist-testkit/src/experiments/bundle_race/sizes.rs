//! What a bundle and the table of members cost by their sizes.

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
/// Deltas folded for one figure.
const FOLD_COUNT: u64 = 5;
/// The target's VMs and data centres.
const TARGET_VM_COUNT: usize = 340;
const TARGET_DATA_CENTRE_COUNT: usize = 21;
/// Tables built to measure the memory of one.
const TABLE_COUNT: usize = 100;
/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4_096;

/// Measures records, folds and the table of members.
///
/// # Errors
///
/// Fails when the process's memory cannot be read.
pub fn measure(report: &mut ExperimentReport) -> Result<()> {
    // First, so that no memory freed by the bundles is used again unseen.
    report.set("member_table_bytes_at_340_vms", measure_member_table()?);
    let mut whole_bytes = Vec::new();
    let mut delta_bytes = Vec::new();
    let mut fold_ms = Vec::new();
    for count in BUDGET_COUNTS {
        let size = count as f64;
        let mut chain = BundleChain::new(operators());
        let record = BundleRecord::propose(None, build_version(1, count));
        whole_bytes.push(Point { size, value: serde_json::to_vec(&record)?.len() as f64 });
        chain.apply_record(0, record.event);
        let mut folding = Duration::ZERO;
        for version in 2..2 + FOLD_COUNT {
            let record =
                BundleRecord::propose(chain.active_bundle(), build_version(version, count));
            if version == 2 {
                delta_bytes.push(Point { size, value: serde_json::to_vec(&record)?.len() as f64 });
            }
            let started_at = Instant::now();
            chain.apply_record(version - 1, record.event);
            folding += started_at.elapsed();
        }
        report.require(chain.version() == 1 + FOLD_COUNT, "every delta is accepted");
        let value = folding.as_secs_f64() * 1_000.0 / FOLD_COUNT as f64;
        fold_ms.push(Point { size, value });
    }
    report.set("whole_record_bytes_over_budgets", fit_line(&whole_bytes));
    report.set("delta_record_bytes_over_budgets", fit_line(&delta_bytes));
    report.set("delta_fold_ms_over_budgets", fit_line(&fold_ms));
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
    let tables: Vec<MemberTable> = (0..TABLE_COUNT).map(|_| build_table()).collect();
    let after = read_resident_bytes()?;
    Ok(after.saturating_sub(before) / tables.len())
}

fn build_table() -> MemberTable {
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
