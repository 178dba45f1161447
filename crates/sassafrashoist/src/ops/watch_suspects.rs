//! Keeps requests that crash backend servers from crashing more of them.

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

/// How long the other VMs may take to say what they know of a suspect.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Counts a copy of a request as being on a server until it is dropped.
pub struct PlacementMark {
    context: Arc<RouterContext>,
    mark: RequestFingerprint,
}

impl Drop for PlacementMark {
    fn drop(&mut self) {
        self.context.tables.lock_quarantine().remove_copy(&self.mark);
    }
}

/// Chooses the backend server of a request's next attempt, and counts the request as being there.
///
/// A suspect waits until it can be tried on its own.
///
/// # Errors
///
/// Fails with the refusal to answer when no server can be used or the request is quarantined.
pub async fn place_request(run: &ActiveRequest) -> Result<(ChosenServer, PlacementMark), Refusal> {
    let mark = run.request.fingerprint();
    let mut tries = 0;
    loop {
        let suspicion = run.context.tables.lock_quarantine().suspicion(&mark, read_clock());
        match suspicion {
            Suspicion::None => return place_unsuspected(run, &mark).await,
            Suspicion::Suspect => {}
            Suspicion::Quarantined(_) => return Err(refuse_quarantined(run).await),
        }
        tries += 1;
        if let Some(placed) = try_trial(run, &mark).await {
            return Ok(placed);
        }
        if run.request.hop_timeout().is_none() {
            return Err(Refusal::of(ResultCode::DeadlineUnreachable));
        }
        tokio::time::sleep(retry_delay(run.context.incarnation(), &run.request.key, tries)).await;
    }
}

/// Records that a server crashed under a request, and tells the other VMs.
///
/// An attempt that was sent to a server already known to be down has no part in that.
pub async fn report_crash(run: &ActiveRequest, server_id: &str, sent_at: Timestamp) {
    let mark = run.request.fingerprint();
    if run.context.tables.lock_quarantine().was_down(server_id, sent_at) {
        return;
    }
    let sighting = CrashSighting {
        fingerprint: mark.clone(),
        server_id: server_id.to_owned(),
        seen_at: read_clock(),
    };
    if !run.context.tables.lock_quarantine().record(&sighting) {
        return;
    }
    let reason = format!("server {server_id} crashed under the request");
    let (key, kind) = (&run.request.key, DecisionKind::Quarantine);
    run.context.record_decision(key, kind, ResultCode::Quarantined, reason);
    metrics::counter!("sassafrashoist_crash_sightings_total").increment(1);
    exchange(&run.context, &mark, own_peers(&run.context)).await;
    let context = Arc::clone(&run.context);
    let others = other_peers(&context);
    tokio::spawn(async move { exchange(&context, &mark, others).await });
}

/// Returns the refusal of a quarantined request: *not run* where no earlier attempt can have run.
async fn refuse_quarantined(run: &ActiveRequest) -> Refusal {
    let mark = run.request.fingerprint();
    let now = read_clock();
    let suspicion = run.context.tables.lock_quarantine().suspicion(&mark, now);
    let retry_after = match suspicion {
        Suspicion::Quarantined(until) => Some(until.saturating_sub(now)),
        Suspicion::None | Suspicion::Suspect => None,
    };
    let mut refusal = Refusal::of(ResultCode::Quarantined).retry_after(retry_after);
    if run.request.is_keyed && !is_unknown_to_owner(run).await {
        refusal.outcome = Outcome::Unknown;
    }
    refusal
}

async fn is_unknown_to_owner(run: &ActiveRequest) -> bool {
    let Ok(owner_vm_id) = find_owner(&run.context, &run.request) else {
        return false;
    };
    let entry =
        lookup_request(&run.context, &owner_vm_id, &run.request.budget_id, &run.request.key).await;
    matches!(entry, Ok(None))
}

/// Claims a server for a trial; `None` when another suspect is on it.
async fn try_trial(
    run: &ActiveRequest,
    mark: &RequestFingerprint,
) -> Option<(ChosenServer, PlacementMark)> {
    let (unusable, crashed) = {
        let quarantine = run.context.tables.lock_quarantine();
        let taken = quarantine.trial_servers(mark);
        let down = quarantine.down_servers(read_clock());
        ([taken, down].concat(), quarantine.sightings(mark))
    };
    let crashed: Vec<_> = crashed.into_iter().map(|sighting| sighting.server_id).collect();
    let preferred = [run.excluded.as_slice(), &unusable, &crashed].concat();
    let (server, placement) =
        place_trial(run, mark, &preferred).or_else(|_| place_trial(run, mark, &unusable)).ok()?;
    let answers = exchange(&run.context, mark, own_peers(&run.context)).await;
    let is_taken = answers.iter().any(|answer| answer.trial_server_ids.contains(&server.server_id));
    let suspicion = run.context.tables.lock_quarantine().suspicion(mark, read_clock());
    let is_quarantined = matches!(suspicion, Suspicion::Quarantined(_));
    (!is_taken && !is_quarantined).then_some((server, placement))
}

/// Places a request that crashed nothing; its first attempt may wait for a place.
async fn place_unsuspected(
    run: &ActiveRequest,
    mark: &RequestFingerprint,
) -> Result<(ChosenServer, PlacementMark), Refusal> {
    let is_joined = run.context.tables.lock_quarantine().pinned_server(mark).is_some();
    let server = if run.excluded.is_empty() && !is_joined {
        choose_backend(&run.context, &run.request).await?
    } else {
        choose_joined(run, mark, &run.excluded, false)?
    };
    run.context.tables.lock_quarantine().add_copy(mark, &server.server_id, false);
    Ok((server, mark_placement(run, mark)))
}

/// Places a suspect on a server that no other suspect is on.
fn place_trial(
    run: &ActiveRequest,
    mark: &RequestFingerprint,
    excluded: &[BackendServerId],
) -> Result<(ChosenServer, PlacementMark), Refusal> {
    let server = choose_joined(run, mark, excluded, true)?;
    if !run.context.tables.lock_quarantine().try_start_trial(mark, &server.server_id) {
        return Err(Refusal::of(ResultCode::NoBackendServer));
    }
    Ok((server, mark_placement(run, mark)))
}

fn mark_placement(run: &ActiveRequest, mark: &RequestFingerprint) -> PlacementMark {
    PlacementMark { context: Arc::clone(&run.context), mark: mark.clone() }
}

fn choose_joined(
    run: &ActiveRequest,
    mark: &RequestFingerprint,
    excluded: &[BackendServerId],
    is_trial: bool,
) -> Result<ChosenServer, Refusal> {
    let joined = run.context.tables.lock_quarantine().pinned_server(mark).cloned();
    match joined {
        Some(joined) => join_copies(run, excluded, &joined, is_trial),
        None => choose_next_backend(&run.context, &run.request, excluded),
    }
}

/// Chooses the server that has copies of the request; a trial goes nowhere else.
fn join_copies(
    run: &ActiveRequest,
    excluded: &[BackendServerId],
    joined: &BackendServerId,
    is_trial: bool,
) -> Result<ChosenServer, Refusal> {
    let all_but_joined: Vec<_> = {
        let routing = run.context.tables.lock_routing();
        let others = routing.servers().filter(|server| server.server_id != *joined);
        others.map(|server| server.server_id.clone()).chain(excluded.to_vec()).collect()
    };
    let chosen = choose_next_backend(&run.context, &run.request, &all_but_joined);
    if chosen.is_err() && !is_trial {
        return choose_next_backend(&run.context, &run.request, excluded);
    }
    chosen
}

/// Tells VMs what this one knows of a request, and takes in what they know.
async fn exchange(
    context: &RouterContext,
    mark: &RequestFingerprint,
    vm_ids: Vec<VmId>,
) -> Vec<SightingsResponse> {
    let sightings = context.tables.lock_quarantine().sightings(mark);
    let call = SightingsRequest { running_key: None, fingerprint: Some(mark.clone()), sightings };
    let asking = vm_ids.iter().map(|vm_id| ask(context, vm_id, &call));
    let answers: Vec<_> = join_all(asking).await.into_iter().flatten().collect();
    let mut quarantine = context.tables.lock_quarantine();
    for sighting in answers.iter().flat_map(|answer| &answer.sightings) {
        quarantine.record(sighting);
    }
    answers
}

async fn ask(
    context: &RouterContext,
    vm_id: &str,
    call: &SightingsRequest,
) -> Result<SightingsResponse, PeerError> {
    let mut request = context.peers.request(call)?;
    request.set_timeout(EXCHANGE_TIMEOUT);
    let mut client = context.peers.fleet_client(vm_id)?;
    let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, client.sightings(request)).await;
    let answer = answer.unwrap_or_else(|_| Err(tonic::Status::deadline_exceeded("sightings")));
    decode_response(vm_id, answer)
}

fn own_peers(context: &RouterContext) -> Vec<VmId> {
    context.peers.vm_ids_in(&context.settings.data_centre_id).map(str::to_owned).collect()
}

fn other_peers(context: &RouterContext) -> Vec<VmId> {
    let own = &context.settings.data_centre_id;
    let peers = context.settings.peers.iter().filter(|peer| peer.data_centre_id != *own);
    peers.map(|peer| peer.vm_id.clone()).collect()
}
