//! Maintains a primary and a backup for each shard of this data centre, and draws tokens from the
//! ledger for the shards whose primary is this VM.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::time::timeout;

use crate::core::contact_table::ShardReport;
use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::commit_change::replicate_all;
use crate::ops::move_tokens::resend_transfers;
use crate::ops::rebalance_budgets::rebalance_budgets;
use crate::ops::serve_owner::{ReplicaRequest, ReplicaResponse};
use sassafrashoist_core::budgets::record::{LedgerEvent, LedgerRecord};
use sassafrashoist_core::budgets::shard::{SHARD_COUNT, ShardId, ShardLocation};
use sassafrashoist_core::budgets::view::View;
use sassafrashoist_core::ids::VmId;
use sassafrashoist_core::owner::propose_view::{PeerStatus, propose_view};
use sassafrashoist_core::rendezvous::rank_owners;
use sassafrashoist_platform::streams::LEDGER_STREAM;

/// The maximum time between two checks of the shards; `maintenance_needed` triggers one earlier.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds of report requests. At least two rounds must fit in the time without a
/// report after which a VM counts as unreachable.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// The timeout of a report request, and of one replication of all shards.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the start before this VM proposes views, so that it has reports of the other VMs.
const START_GRACE: Duration = Duration::from_millis(1_000);
/// Time between two deliveries of a transfer that is not acknowledged, and between two rounds of
/// rebalancing.
const TRANSFER_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checkpoints of the accounts in use, which are appended to the ledger.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(10);

/// The kinds of records, besides draws, that may be proposed now.
#[derive(Debug, Clone, Copy)]
struct DueProposals {
    views: bool,
    checkpoints: bool,
}

/// Maintains the shards until the process stops.
pub async fn maintain_shards(context: Arc<RouterContext>) {
    let started_at = Instant::now();
    let mut checkpointed_at = started_at;
    let mut collected_at: Option<Instant> = None;
    tokio::spawn(
        context.cancel.clone().run_until_cancelled_owned(maintain_transfers(context.clone())),
    );
    while !context.cancel.is_cancelled() {
        if collected_at.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL) {
            collect_reports(&context).await;
            collected_at = Some(Instant::now());
        }
        let may_propose = started_at.elapsed() >= START_GRACE;
        let checkpoints = checkpointed_at.elapsed() >= CHECKPOINT_INTERVAL;
        if checkpoints {
            checkpointed_at = Instant::now();
        }
        append_proposals(&context, DueProposals { views: may_propose, checkpoints }).await;
        let _ = timeout(REPORT_TIMEOUT, replicate_all(&context)).await;
        let _ =
            timeout(MAINTENANCE_INTERVAL, context.shard_locks.maintenance_needed.notified()).await;
    }
}

async fn maintain_transfers(context: Arc<RouterContext>) {
    loop {
        tokio::time::sleep(TRANSFER_RETRY_INTERVAL).await;
        resend_transfers(&context).await;
        rebalance_budgets(&context).await;
    }
}

async fn collect_reports(context: &RouterContext) {
    let vm_ids: Vec<VmId> =
        context.peers.vm_ids_in(&context.settings.data_centre_id).map(str::to_owned).collect();
    let reports = join_all(vm_ids.iter().map(|vm_id| request_report(context, vm_id))).await;
    for (vm_id, report) in vm_ids.into_iter().zip(reports) {
        if let Ok(report) = report {
            context.tables.lock_contacts().record(vm_id, report);
        }
    }
}

async fn request_report(context: &RouterContext, vm_id: &VmId) -> Result<ShardReport, PeerError> {
    let mut peer_request = context.peers.request(&ReplicaRequest::Report)?;
    peer_request.set_timeout(REPORT_TIMEOUT);
    let response = context.peers.owner_client(vm_id)?.replicate(peer_request).await;
    match decode_response(vm_id, response)? {
        ReplicaResponse::Report(report) => Ok(report),
        ReplicaResponse::Delta(_) => Err(PeerError::UnknownVm(vm_id.clone())),
    }
}

/// Appends the views, draws and checkpoints that are due to the ledger, in one batch.
async fn append_proposals(context: &RouterContext, due: DueProposals) {
    let records = collect_proposals(context, due);
    if records.is_empty() {
        return;
    }
    let payloads: Result<Vec<Vec<u8>>, _> = records.iter().map(serde_json::to_vec).collect();
    let Ok(payloads) = payloads else {
        return log::error!("failed to encode ledger records");
    };
    // A lost response needs no read back: the ledger applies each epoch and draw number only once.
    if let Err(error) = context.platform.append(LEDGER_STREAM, payloads).await {
        log::warn!(
            "failed to append {} ledger records, proposing them again: {error}",
            records.len()
        );
    }
}

fn collect_proposals(context: &RouterContext, due: DueProposals) -> Vec<LedgerRecord> {
    let table = context.tables.lock_ledger();
    if !table.is_caught_up {
        return Vec::new();
    }
    let owner = context.tables.lock_owner();
    let own = (&context.settings.vm_id, context.process_incarnation);
    let in_use = owner.budgets_in_use();
    let mut records = Vec::new();
    for (shard, replica) in owner.replicas() {
        let location = ShardLocation {
            data_centre_id: context.settings.data_centre_id.clone(),
            shard: *shard,
        };
        let current = table.ledger.view(&location.data_centre_id, *shard);
        let statuses = rank_peers(context, *shard);
        let mut view = propose_view(replica, &location, current, &statuses, own);
        if !context.settings.budget_policy.has_backup() {
            view = view.filter(|view| view.is_fresh).map(|v| View { backup_vm_id: None, ..v });
        }
        if let Some(view) = view.filter(|_| due.views) {
            records.push(LedgerRecord::new(LedgerEvent::View(view)));
        }
        let draw = replica.propose_draw(&table.ledger, context.settings.budget_policy);
        let checkpoint = || replica.propose_checkpoint(&table.ledger, &in_use);
        records.extend(if due.checkpoints { draw.or_else(checkpoint) } else { draw });
    }
    records
}

/// Ranks the VMs of the data centre by rendezvous hash of the shard, so that the shards are
/// distributed over them.
fn rank_peers(context: &RouterContext, shard: ShardId) -> Vec<PeerStatus> {
    let own_vm_id = context.settings.vm_id.as_str();
    let peers = context.peers.vm_ids_in(&context.settings.data_centre_id);
    let vm_ids: BTreeSet<&str> = peers.chain([own_vm_id]).collect();
    let contacts = context.tables.lock_contacts();
    let ranked = rank_owners(&format!("shard-{shard}-of-{SHARD_COUNT}"), vm_ids);
    let statuses = ranked.into_iter().map(|vm_id| {
        let mut status = contacts.peer_status(vm_id, shard);
        if vm_id == own_vm_id {
            status.is_reachable = true;
            status.incarnation = Some(context.process_incarnation);
        }
        status
    });
    statuses.collect()
}
