//! Responds to a request whose key is known with the response of the first request under that key.
//!
//! While the first request runs, this one waits for its outcome. If the VM that runs it is gone,
//! this VM takes the request over.

use std::time::Duration;

use crate::core::refusal::Refusal;
use crate::ops::admit_request::{find_owner, lookup_request};
use crate::ops::probe_runner::RunnerProbe;
use crate::ops::recover_request::{recover_running, rerun_unknown};
use crate::ops::run_attempts::ActiveRequest;
use crate::util::http_response::{build_response, set_result_headers};
use sassafrashoist_core::requests::key_entry::{KeyEntry, KeyState};
use sassafrashoist_core::result_code::ResultCode;

/// Time between two lookups of a request that is still running.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(20);
/// The number of lookups of a running request per probe of the VM that runs it.
const LOOKUPS_PER_PROBE: u32 = 10;
/// The `Retry-After` of a refusal after which the caller may send the request again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether the wait for a known request goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownKeyStep {
    /// The entry must be read again.
    CheckAgain,
    /// The caller has its response.
    Responded,
}

/// Waits while the first request under the key runs, and responds with its outcome.
pub async fn await_known_request(active: &mut ActiveRequest, initial_state: KeyState) {
    if !matches!(initial_state, KeyState::Running { .. } | KeyState::Unknown) {
        return respond_with_state(active, initial_state).await;
    }
    let mut probe = RunnerProbe::default();
    let mut lookup_count = 0;
    while active.request.hop_timeout().is_some() {
        let entry = match read_known_entry(active).await {
            Ok(entry) => entry,
            Err(refusal) => return active.sink.refuse(&refusal).await,
        };
        let step = match &entry.state {
            KeyState::Running { runner, .. } if lookup_count % LOOKUPS_PER_PROBE == 0 => {
                let health = probe.probe(&active.context, runner, &active.request.key).await;
                if health.allows_takeover() {
                    recover_running(active, &entry).await
                } else {
                    KnownKeyStep::CheckAgain
                }
            }
            KeyState::Running { .. } => KnownKeyStep::CheckAgain,
            KeyState::Unknown if active.request.retry_rules().may_rerun() => {
                rerun_unknown(active, &entry).await
            }
            KeyState::Unknown | KeyState::Done { .. } => {
                return respond_with_state(active, entry.state).await;
            }
        };
        if step == KnownKeyStep::Responded {
            return;
        }
        lookup_count += 1;
        tokio::time::sleep(LOOKUP_INTERVAL).await;
    }
    let refusal = Refusal::of(ResultCode::DeadlinePassed).retry_after(Some(RETRY_AFTER));
    active.sink.refuse(&refusal).await;
}

async fn respond_with_state(active: &mut ActiveRequest, state: KeyState) {
    match state {
        KeyState::Done { response: Some(stored), .. } => {
            let mut response =
                build_response(stored.http_status, &stored.content_type, stored.body);
            set_result_headers(&mut response, &active.request.key, ResultCode::Replayed);
            active.sink.send_response(response);
        }
        KeyState::Done { .. } => {
            active.sink.refuse(&Refusal::of(ResultCode::AnswerNotKept)).await;
        }
        KeyState::Running { .. } | KeyState::Unknown => {
            active.sink.refuse(&Refusal::of(ResultCode::OutcomeUnknown)).await;
        }
    }
}

async fn read_known_entry(active: &ActiveRequest) -> Result<KeyEntry, Refusal> {
    let (context, request) = (&active.context, &active.request);
    let out_of_reach = |reason: String| {
        Refusal::new(ResultCode::OwnerOutOfReach, reason).retry_after(Some(RETRY_AFTER))
    };
    let owner_vm_id =
        find_owner(context, request).map_err(|error| out_of_reach(error.to_string()))?;
    let entry = lookup_request(context, &owner_vm_id, &request.budget_id, &request.key)
        .await
        .map_err(|error| out_of_reach(error.to_string()))?;
    let entry = entry.ok_or_else(|| {
        Refusal::new(ResultCode::AttemptsFailed, "the first request under the key did not run")
            .retry_after(Some(RETRY_AFTER))
    })?;
    if entry.binding != request.binding {
        return Err(Refusal::of(ResultCode::KeyBodyMismatch));
    }
    Ok(entry)
}
