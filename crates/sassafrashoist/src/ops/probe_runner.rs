//! Asks the VM that runs a request whether it still does.

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

/// How long a VM may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Follows the health of the VM that runs a request.
#[derive(Debug, Default)]
pub struct RunnerProbe {
    silent_since: Option<Instant>,
}

impl RunnerProbe {
    /// Asks the VM once.
    pub async fn probe(
        &mut self,
        context: &RouterContext,
        runner: &AttemptRunner,
        key: &str,
    ) -> RunnerHealth {
        if runner.vm_id == context.settings.vm_id {
            let is_own_run = runner.incarnation == context.incarnation();
            let is_running = is_own_run && context.registry.is_running(key);
            return if is_running { RunnerHealth::Alive } else { RunnerHealth::Gone };
        }
        let asked_at = Instant::now();
        match ask_runner(context, runner, key).await {
            Ok((incarnation, is_running)) => {
                self.silent_since = None;
                let is_same = incarnation == runner.incarnation;
                if is_same && is_running { RunnerHealth::Alive } else { RunnerHealth::Gone }
            }
            Err(PeerError::CallFailed(_, status)) if is_refused(&status) => RunnerHealth::Gone,
            Err(_) => {
                let silent_since = *self.silent_since.get_or_insert(asked_at);
                RunnerHealth::Unresponsive(silent_since.elapsed())
            }
        }
    }
}

/// Answers another VM's question about the requests that this VM runs.
pub fn answer_sightings(context: &RouterContext, call: SightingsRequest) -> SightingsResponse {
    let is_running = call.running_key.is_some_and(|key| context.registry.is_running(&key));
    let mut quarantine = context.tables.lock_quarantine();
    for sighting in &call.sightings {
        quarantine.record(sighting);
    }
    let Some(mark) = call.fingerprint else {
        return SightingsResponse { is_running, ..SightingsResponse::default() };
    };
    SightingsResponse {
        is_running,
        sightings: quarantine.sightings(&mark),
        trial_server_ids: quarantine.trial_servers(&mark),
    }
}

async fn ask_runner(
    context: &RouterContext,
    runner: &AttemptRunner,
    key: &str,
) -> Result<(Incarnation, bool), PeerError> {
    let vm_id = &runner.vm_id;
    let mut call = context.peers.request(&SightingsRequest {
        running_key: Some(key.to_owned()),
        ..SightingsRequest::default()
    })?;
    call.set_timeout(PROBE_TIMEOUT);
    let mut client = context.peers.fleet_client(vm_id)?;
    let answered = tokio::time::timeout(PROBE_TIMEOUT, client.sightings(call)).await;
    let answer = answered.unwrap_or_else(|_| Err(Status::deadline_exceeded("probe")));
    let incarnation = answer.as_ref().map_or(0, |answer| answer.get_ref().incarnation);
    let sightings: SightingsResponse = decode_response(vm_id, answer)?;
    Ok((incarnation, sightings.is_running))
}

/// Returns whether a call failed because nothing listens at the address.
fn is_refused(status: &Status) -> bool {
    let mut source: Option<&(dyn Error + 'static)> = status.source();
    while let Some(current) = source {
        if let Some(io) = current.downcast_ref::<io::Error>() {
            return io.kind() == io::ErrorKind::ConnectionRefused;
        }
        source = current.source();
    }
    false
}
