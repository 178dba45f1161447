//! Writes snapshots of the active bundle to the stream, before the log trims the records that led
//! to it.

use std::sync::Arc;
use std::time::Duration;

use crate::core::clock::read_clock;
use crate::core::router_context::RouterContext;
use sassafrashoist_bundle::bundle_record::{BundleEvent, BundleRecord};
use sassafrashoist_bundle::snapshot_schedule::SnapshotSchedule;
use sassafrashoist_core::rendezvous::rank_owners;
use sassafrashoist_platform::streams::BUNDLE_STREAM;

/// Time between two checks of the schedule.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The rendezvous hash key by which VMs are ranked as writers.
const RANK_KEY: &str = "bundle-snapshot";

/// Writes snapshots until the process stops.
pub async fn write_snapshots(context: Arc<RouterContext>) {
    let mut schedule =
        SnapshotSchedule::new(context.settings.bundle_snapshot_interval, read_clock());
    let mut seen_offset = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = context.cancel.cancelled() => return,
        }
        let (snapshot_offset, records_since) = {
            let chain = context.tables.lock_bundle_chain();
            (chain.snapshot_offset(), chain.records_since_snapshot())
        };
        if snapshot_offset != seen_offset {
            seen_offset = snapshot_offset;
            schedule.record_written(read_clock());
        }
        if schedule.is_due(find_rank(&context), records_since, read_clock()) {
            write_snapshot(&context).await;
            schedule.record_written(read_clock());
        }
    }
}

/// Returns the rank of this VM among the members that are eligible for a role, 0 for the first.
fn find_rank(context: &RouterContext) -> usize {
    let own_vm_id = context.settings.vm_id.as_str();
    let members = context.tables.lock_membership();
    let eligible = members.members().filter(|member| member.is_eligible());
    let vm_ids = eligible.map(|member| member.update.vm_id.as_str()).chain([own_vm_id]);
    rank_owners(RANK_KEY, vm_ids).iter().position(|vm_id| *vm_id == own_vm_id).unwrap_or_default()
}

async fn write_snapshot(context: &RouterContext) {
    let Some(snapshot) = context.tables.lock_bundle_chain().snapshot() else { return };
    let record = BundleRecord::new(BundleEvent::Snapshot(Box::new(snapshot)));
    let Ok(payload) = serde_json::to_vec(&record) else { return };
    if let Err(error) = context.platform.append(BUNDLE_STREAM, vec![payload]).await {
        log::warn!("failed to write a snapshot of the bundle: {error}");
    }
}
