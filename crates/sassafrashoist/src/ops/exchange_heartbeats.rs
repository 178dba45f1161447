//! Gossip and failure detection: exchanges heartbeats with a bounded number of other VMs in each
//! round.
//!
//! When a VM does not respond, other VMs are asked to probe it. It becomes suspect only if none of
//! them reaches it, so a broken link between two VMs alone makes no VM suspect.

use std::sync::Arc;

use tokio::time::MissedTickBehavior;

use crate::core::clock::read_clock;
use crate::core::control_traffic::ControlKind;
use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::VmId;
use sassafrashoist_core::membership::heartbeat::{
    ActiveBundleId, Heartbeat, HeartbeatRequest, HeartbeatResponse,
};
use sassafrashoist_core::membership::member_change::MemberChange;
use sassafrashoist_core::result_code::ResultCode;

/// The number of VMs that are asked to probe a VM that does not respond.
const PROBE_HELPER_COUNT: usize = 2;

/// Exchanges heartbeats until the process stops.
pub async fn exchange_heartbeats(context: Arc<RouterContext>) {
    let mut interval = tokio::time::interval(context.settings.membership.round_interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = context.cancel.cancelled() => return,
        }
        for vm_id in start_round(&context) {
            tokio::spawn(probe_vm(Arc::clone(&context), vm_id));
        }
    }
}

/// Handles a `Fleet.Heartbeat` request.
pub async fn handle_heartbeat(
    context: &RouterContext,
    request: HeartbeatRequest,
) -> HeartbeatResponse {
    match request {
        HeartbeatRequest::Exchange(heartbeat) => {
            apply_heartbeat(context, &heartbeat);
            HeartbeatResponse::Exchanged(make_heartbeat(context, &heartbeat.sender.vm_id))
        }
        HeartbeatRequest::Probe(vm_id) => {
            HeartbeatResponse::Probed(exchange_heartbeat(context, &vm_id).await.is_ok())
        }
    }
}

fn start_round(context: &RouterContext) -> Vec<VmId> {
    let (changes, targets) = {
        let mut members = context.tables.lock_membership();
        let changes = members.tick(read_clock());
        if context.drain_gate.is_draining() {
            members.start_leaving();
        }
        (changes, members.choose_targets(rand::random()))
    };
    record_changes(context, &changes);
    targets
}

async fn probe_vm(context: Arc<RouterContext>, vm_id: VmId) {
    if exchange_heartbeat(&context, &vm_id).await.is_ok() {
        return;
    }
    let is_reached_by_other = probe_through_helpers(&context, &vm_id).await;
    let changes =
        context.tables.lock_membership().record_failure(&vm_id, is_reached_by_other, read_clock());
    record_changes(&context, &changes);
}

async fn exchange_heartbeat(context: &RouterContext, vm_id: &str) -> Result<(), PeerError> {
    let request = HeartbeatRequest::Exchange(make_heartbeat(context, vm_id));
    if let HeartbeatResponse::Exchanged(heartbeat) =
        send_request(context, vm_id, &request, 1).await?
    {
        context.tables.lock_membership().record_response(vm_id, read_clock());
        apply_heartbeat(context, &heartbeat);
    }
    Ok(())
}

async fn probe_through_helpers(context: &RouterContext, vm_id: &VmId) -> bool {
    let helpers = context.tables.lock_membership().choose_probe_helpers(vm_id, PROBE_HELPER_COUNT);
    let request = HeartbeatRequest::Probe(vm_id.clone());
    let probes = helpers.iter().map(|helper| send_request(context, helper, &request, 2));
    let responses = futures::future::join_all(probes).await;
    responses.into_iter().any(|response| matches!(response, Ok(HeartbeatResponse::Probed(true))))
}

async fn send_request(
    context: &RouterContext,
    vm_id: &str,
    request: &HeartbeatRequest,
    hop_count: u32,
) -> Result<HeartbeatResponse, PeerError> {
    let timeout = context.settings.membership.probe_timeout * hop_count;
    let peer_request = context.peers.request_with_timeout(request, timeout)?;
    context.traffic.count(ControlKind::Heartbeat, peer_request.get_ref().payload.len());
    let mut client = context.peers.fleet_client(vm_id)?;
    let response = tokio::time::timeout(timeout, client.heartbeat(peer_request))
        .await
        .unwrap_or_else(|_| Err(tonic::Status::deadline_exceeded("heartbeat")));
    if let Ok(envelope) = &response {
        context.traffic.count(ControlKind::Heartbeat, envelope.get_ref().payload.len());
    }
    decode_response(vm_id, response)
}

fn make_heartbeat(context: &RouterContext, to_vm_id: &str) -> Heartbeat {
    let bundle =
        context.tables.bundle().map_or_else(ActiveBundleId::default, |bundle| ActiveBundleId {
            version: bundle.version(),
            digest_sha256: bundle.signed.digest_sha256.clone(),
        });
    context.tables.lock_membership().make_heartbeat(to_vm_id, bundle)
}

fn apply_heartbeat(context: &RouterContext, heartbeat: &Heartbeat) {
    let changes = context.tables.lock_membership().receive(heartbeat, read_clock());
    record_changes(context, &changes);
}

fn record_changes(context: &RouterContext, changes: &[MemberChange]) {
    for change in changes {
        if change.vm_id == context.settings.vm_id {
            context.peers.set_incarnation(change.incarnation);
            log::warn!("this VM's incarnation is now {}: {:?}", change.incarnation, change.reason);
        }
        let reason = format!(
            "VM {} incarnation {} is {:?}: {:?}",
            change.vm_id, change.incarnation, change.state, change.reason
        );
        context.record_decision("", DecisionKind::Membership, ResultCode::Done, reason);
    }
}
