//! Checks whether the VM that runs a request still runs it.

use std::error::Error;
use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tonic::Status;

use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use sassafrashoist_core::ids::Incarnation;
use sassafrashoist_core::requests::key_entry::AttemptRunner;
use sassafrashoist_core::requests::recovery::RunnerHealth;
use sassafrashoist_core::requests::sightings::{SightingsRequest, SightingsResponse};

/// How long a VM may take to respond to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Tracks the health of the VM that runs a request, over several probes.
#[derive(Debug, Default)]
pub struct RunnerProbe {
    unresponsive_since: Option<Instant>,
}

impl RunnerProbe {
    /// Probes the VM once.
    pub async fn probe(
        &mut self,
        context: &RouterContext,
        runner: &AttemptRunner,
        key: &str,
    ) -> RunnerHealth {
        if runner.vm_id == context.settings.vm_id {
            let is_this_incarnation = runner.incarnation == context.incarnation();
            let is_running = is_this_incarnation && context.registry.is_running(key);
            return if is_running { RunnerHealth::Alive } else { RunnerHealth::Gone };
        }
        let probed_at = Instant::now();
        match query_runner(context, runner, key).await {
            Ok((incarnation, is_running)) => {
                self.unresponsive_since = None;
                let is_same_incarnation = incarnation == runner.incarnation;
                if is_same_incarnation && is_running {
                    RunnerHealth::Alive
                } else {
                    RunnerHealth::Gone
                }
            }
            Err(PeerError::CallFailed(_, status)) if is_connection_refused(&status) => {
                RunnerHealth::Gone
            }
            Err(_) => {
                let unresponsive_since = *self.unresponsive_since.get_or_insert(probed_at);
                RunnerHealth::Unresponsive(unresponsive_since.elapsed())
            }
        }
    }
}

/// Handles a sightings request of another VM: records the sightings in it, and returns whether this
/// VM runs the request with the given key and which sightings it has of the given fingerprint.
pub fn handle_sightings(context: &RouterContext, request: SightingsRequest) -> SightingsResponse {
    let is_running = request.running_key.is_some_and(|key| context.registry.is_running(&key));
    let mut quarantine = context.tables.lock_quarantine();
    for sighting in &request.sightings {
        quarantine.record(sighting);
    }
    let Some(fingerprint) = request.fingerprint else {
        return SightingsResponse { is_running, ..SightingsResponse::default() };
    };
    SightingsResponse {
        is_running,
        sightings: quarantine.sightings(&fingerprint),
        trial_server_ids: quarantine.trial_servers(&fingerprint),
    }
}

async fn query_runner(
    context: &RouterContext,
    runner: &AttemptRunner,
    key: &str,
) -> Result<(Incarnation, bool), PeerError> {
    let vm_id = &runner.vm_id;
    let mut request = context.peers.request(&SightingsRequest {
        running_key: Some(key.to_owned()),
        ..SightingsRequest::default()
    })?;
    request.set_timeout(PROBE_TIMEOUT);
    let mut client = context.peers.fleet_client(vm_id)?;
    let result = tokio::time::timeout(PROBE_TIMEOUT, client.sightings(request)).await;
    let response = result.unwrap_or_else(|_| Err(Status::deadline_exceeded("probe")));
    let incarnation = response.as_ref().map_or(0, |response| response.get_ref().incarnation);
    let sightings: SightingsResponse = decode_response(vm_id, response)?;
    Ok((incarnation, sightings.is_running))
}

/// Returns whether a request failed because nothing listens at the address.
fn is_connection_refused(status: &Status) -> bool {
    let mut source: Option<&(dyn Error + 'static)> = status.source();
    while let Some(current) = source {
        if let Some(io) = current.downcast_ref::<io::Error>() {
            return io.kind() == io::ErrorKind::ConnectionRefused;
        }
        source = current.source();
    }
    false
}
