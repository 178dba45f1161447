//! Isolates and quarantines poison requests, which crash backend servers, so that they do not crash
//! more.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::core::chosen_server::ChosenServer;
use crate::core::clock::read_clock;
use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::{find_owner, lookup_request};
use crate::ops::choose_backend::{choose_backend, choose_next_backend};
use crate::ops::run_attempts::ActiveRequest;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::{BackendServerId, Timestamp, VmId};
use sassafrashoist_core::requests::backoff::retry_delay;
use sassafrashoist_core::requests::quarantine::{CrashSighting, RequestFingerprint, Suspicion};
use sassafrashoist_core::requests::sightings::{SightingsRequest, SightingsResponse};
use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// How long another VM may take to respond with its crash sightings of a request.
const SIGHTINGS_TIMEOUT: Duration = Duration::from_millis(300);

/// Counts a copy of a request as placed on a server until it is dropped.
pub struct PlacementGuard {
    context: Arc<RouterContext>,
    fingerprint: RequestFingerprint,
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.context.tables.lock_quarantine().remove_copy(&self.fingerprint);
    }
}

/// Chooses the backend server of a request's next attempt, and counts the request as placed there.
///
/// A request suspected of crashing servers waits until it can be tried in isolation.
///
/// # Errors
///
/// Fails with the refusal to return when no server can be used or the request is quarantined.
pub async fn place_request(
    active: &ActiveRequest,
) -> Result<(ChosenServer, PlacementGuard), Refusal> {
    let fingerprint = active.request.fingerprint();
    let mut tries = 0;
    loop {
        let suspicion =
            active.context.tables.lock_quarantine().suspicion(&fingerprint, read_clock());
        match suspicion {
            Suspicion::None => return place_unsuspected(active, &fingerprint).await,
            Suspicion::Suspect => {}
            Suspicion::Quarantined(_) => return Err(refuse_quarantined(active).await),
        }
        tries += 1;
        if let Some(placed) = try_isolated_trial(active, &fingerprint).await {
            return Ok(placed);
        }
        if active.request.hop_timeout().is_none() {
            return Err(Refusal::of(ResultCode::DeadlineUnreachable));
        }
        tokio::time::sleep(retry_delay(active.context.incarnation(), &active.request.key, tries))
            .await;
    }
}

/// Records that a server crashed while it had a request, and exchanges sightings with other VMs.
///
/// Does nothing if the attempt was sent to a server that had already crashed: the attempt is then
/// not the reason why the server is down.
pub async fn report_crash(active: &ActiveRequest, server_id: &str, sent_at: Timestamp) {
    let fingerprint = active.request.fingerprint();
    if active.context.tables.lock_quarantine().was_down(server_id, sent_at) {
        return;
    }
    let sighting = CrashSighting {
        fingerprint: fingerprint.clone(),
        server_id: server_id.to_owned(),
        seen_at: read_clock(),
    };
    if !active.context.tables.lock_quarantine().record(&sighting) {
        return;
    }
    let reason = format!("server {server_id} crashed under the request");
    let (key, kind) = (&active.request.key, DecisionKind::Quarantine);
    active.context.record_decision(key, kind, ResultCode::Quarantined, reason);
    metrics::counter!("sassafrashoist_crash_sightings_total").increment(1);
    exchange_sightings(&active.context, &fingerprint, local_peers(&active.context)).await;
    let context = Arc::clone(&active.context);
    let others = remote_peers(&context);
    tokio::spawn(async move { exchange_sightings(&context, &fingerprint, others).await });
}

/// Returns the refusal of a quarantined request. Its outcome is *not run* only if no earlier
/// attempt can have run: a request with a caller's key gets *unknown* unless the owner has no entry
/// for it.
async fn refuse_quarantined(active: &ActiveRequest) -> Refusal {
    let fingerprint = active.request.fingerprint();
    let now = read_clock();
    let suspicion = active.context.tables.lock_quarantine().suspicion(&fingerprint, now);
    let retry_after = match suspicion {
        Suspicion::Quarantined(until) => Some(until.saturating_sub(now)),
        Suspicion::None | Suspicion::Suspect => None,
    };
    let mut refusal = Refusal::of(ResultCode::Quarantined).retry_after(retry_after);
    if active.request.is_keyed && !is_unknown_to_owner(active).await {
        refusal.outcome = Outcome::Unknown;
    }
    refusal
}

async fn is_unknown_to_owner(active: &ActiveRequest) -> bool {
    let Ok(owner_vm_id) = find_owner(&active.context, &active.request) else {
        return false;
    };
    let entry = lookup_request(
        &active.context,
        &owner_vm_id,
        &active.request.budget_id,
        &active.request.key,
    )
    .await;
    matches!(entry, Ok(None))
}

/// Claims a server for an isolated trial; `None` when no server is free, another VM has a trial on
/// the server, or the request has become quarantined.
async fn try_isolated_trial(
    active: &ActiveRequest,
    fingerprint: &RequestFingerprint,
) -> Option<(ChosenServer, PlacementGuard)> {
    let (unusable, crashed) = {
        let quarantine = active.context.tables.lock_quarantine();
        let on_trial = quarantine.trial_servers(fingerprint);
        let down = quarantine.down_servers(read_clock());
        ([on_trial, down].concat(), quarantine.sightings(fingerprint))
    };
    let crashed: Vec<_> = crashed.into_iter().map(|sighting| sighting.server_id).collect();
    let avoided = [active.excluded.as_slice(), &unusable, &crashed].concat();
    let (server, placement) = place_trial(active, fingerprint, &avoided)
        .or_else(|_| place_trial(active, fingerprint, &unusable))
        .ok()?;
    let responses =
        exchange_sightings(&active.context, fingerprint, local_peers(&active.context)).await;
    let is_taken =
        responses.iter().any(|response| response.trial_server_ids.contains(&server.server_id));
    let suspicion = active.context.tables.lock_quarantine().suspicion(fingerprint, read_clock());
    let is_quarantined = matches!(suspicion, Suspicion::Quarantined(_));
    (!is_taken && !is_quarantined).then_some((server, placement))
}

/// Places a request that is not a suspect; its first attempt may wait for a free slot.
async fn place_unsuspected(
    active: &ActiveRequest,
    fingerprint: &RequestFingerprint,
) -> Result<(ChosenServer, PlacementGuard), Refusal> {
    let is_pinned = active.context.tables.lock_quarantine().pinned_server(fingerprint).is_some();
    let server = if active.excluded.is_empty() && !is_pinned {
        choose_backend(&active.context, &active.request).await?
    } else {
        choose_pinned_or_next(active, fingerprint, &active.excluded, false)?
    };
    active.context.tables.lock_quarantine().add_copy(fingerprint, &server.server_id, false);
    Ok((server, guard_placement(active, fingerprint)))
}

/// Places a suspect on a server that this VM uses for no other trial.
fn place_trial(
    active: &ActiveRequest,
    fingerprint: &RequestFingerprint,
    excluded: &[BackendServerId],
) -> Result<(ChosenServer, PlacementGuard), Refusal> {
    let server = choose_pinned_or_next(active, fingerprint, excluded, true)?;
    if !active.context.tables.lock_quarantine().try_start_trial(fingerprint, &server.server_id) {
        return Err(Refusal::of(ResultCode::NoBackendServer));
    }
    Ok((server, guard_placement(active, fingerprint)))
}

fn guard_placement(active: &ActiveRequest, fingerprint: &RequestFingerprint) -> PlacementGuard {
    PlacementGuard { context: Arc::clone(&active.context), fingerprint: fingerprint.clone() }
}

fn choose_pinned_or_next(
    active: &ActiveRequest,
    fingerprint: &RequestFingerprint,
    excluded: &[BackendServerId],
    is_trial: bool,
) -> Result<ChosenServer, Refusal> {
    let pinned = active.context.tables.lock_quarantine().pinned_server(fingerprint).cloned();
    match pinned {
        Some(pinned) => choose_pinned(active, excluded, &pinned, is_trial),
        None => choose_next_backend(&active.context, &active.request, excluded),
    }
}

/// Chooses the server that already has copies of the request; if that fails, an attempt that is no
/// trial may use another server.
fn choose_pinned(
    active: &ActiveRequest,
    excluded: &[BackendServerId],
    pinned: &BackendServerId,
    is_trial: bool,
) -> Result<ChosenServer, Refusal> {
    let all_but_pinned: Vec<_> = {
        let routing = active.context.tables.lock_routing();
        let others = routing.servers().filter(|server| server.server_id != *pinned);
        others.map(|server| server.server_id.clone()).chain(excluded.to_vec()).collect()
    };
    let chosen = choose_next_backend(&active.context, &active.request, &all_but_pinned);
    if chosen.is_err() && !is_trial {
        return choose_next_backend(&active.context, &active.request, excluded);
    }
    chosen
}

/// Sends other VMs the crash sightings of a request, and records theirs.
async fn exchange_sightings(
    context: &RouterContext,
    fingerprint: &RequestFingerprint,
    vm_ids: Vec<VmId>,
) -> Vec<SightingsResponse> {
    let sightings = context.tables.lock_quarantine().sightings(fingerprint);
    let request =
        SightingsRequest { running_key: None, fingerprint: Some(fingerprint.clone()), sightings };
    let exchanges = vm_ids.iter().map(|vm_id| request_sightings(context, vm_id, &request));
    let responses: Vec<_> = join_all(exchanges).await.into_iter().flatten().collect();
    let mut quarantine = context.tables.lock_quarantine();
    for sighting in responses.iter().flat_map(|response| &response.sightings) {
        quarantine.record(sighting);
    }
    responses
}

async fn request_sightings(
    context: &RouterContext,
    vm_id: &str,
    request: &SightingsRequest,
) -> Result<SightingsResponse, PeerError> {
    let mut peer_request = context.peers.request(request)?;
    peer_request.set_timeout(SIGHTINGS_TIMEOUT);
    let mut client = context.peers.fleet_client(vm_id)?;
    let response = tokio::time::timeout(SIGHTINGS_TIMEOUT, client.sightings(peer_request)).await;
    let response = response.unwrap_or_else(|_| Err(tonic::Status::deadline_exceeded("sightings")));
    decode_response(vm_id, response)
}

fn local_peers(context: &RouterContext) -> Vec<VmId> {
    context.peers.vm_ids_in(&context.settings.data_centre_id).map(str::to_owned).collect()
}

fn remote_peers(context: &RouterContext) -> Vec<VmId> {
    let own_data_centre_id = &context.settings.data_centre_id;
    let peers =
        context.settings.peers.iter().filter(|peer| peer.data_centre_id != *own_data_centre_id);
    peers.map(|peer| peer.vm_id.clone()).collect()
}
