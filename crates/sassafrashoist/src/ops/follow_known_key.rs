//! Answers a request whose key is known: the caller gets what became of the first one.
//!
//! While the first attempt runs, this one waits for its outcome. When the VM that runs it is gone,
//! this VM takes the request over.

use std::time::Duration;

use crate::core::refusal::Refusal;
use crate::ops::admit_request::{find_owner, lookup_request};
use crate::ops::probe_runner::RunnerProbe;
use crate::ops::recover_request::{recover_running, repeat_unknown};
use crate::ops::run_attempts::RequestRun;
use crate::util::http_response::{build_response, set_result_headers};
use sassafrashoist_core::requests::key_entry::{KeyEntry, KeyState};
use sassafrashoist_core::result_code::ResultCode;

/// Time between two looks at a request that is still running.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(20);
/// Looks at a running request from one probe of its VM to the next.
const LOOKUPS_PER_PROBE: u32 = 10;
/// The wait suggested to a caller that may ask again.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// Whether following a key goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowStep {
    /// Another look is needed.
    LookAgain,
    /// The caller has its answer.
    Answered,
}

/// Answers with what became of the first request under the key, waiting while it runs.
pub async fn follow_known_key(run: &mut RequestRun, first_state: KeyState) {
    if !matches!(first_state, KeyState::Running { .. } | KeyState::Unknown) {
        return answer_closed(run, first_state).await;
    }
    let mut probe = RunnerProbe::default();
    let mut looks = 0;
    while run.request.hop_timeout().is_some() {
        let entry = match look_again(run).await {
            Ok(entry) => entry,
            Err(refusal) => return run.sink.refuse(&refusal).await,
        };
        let step = match &entry.state {
            KeyState::Running { runner, .. } if looks % LOOKUPS_PER_PROBE == 0 => {
                let health = probe.probe(&run.context, runner, &run.request.key).await;
                if health.allows_takeover() {
                    recover_running(run, &entry).await
                } else {
                    FollowStep::LookAgain
                }
            }
            KeyState::Running { .. } => FollowStep::LookAgain,
            KeyState::Unknown if run.request.retry_rules().may_rerun() => {
                repeat_unknown(run, &entry).await
            }
            KeyState::Unknown | KeyState::Done { .. } => {
                return answer_closed(run, entry.state).await;
            }
        };
        if step == FollowStep::Answered {
            return;
        }
        looks += 1;
        tokio::time::sleep(LOOKUP_INTERVAL).await;
    }
    let refusal = Refusal::of(ResultCode::DeadlinePassed).retry_after(Some(ASK_AGAIN_AFTER));
    run.sink.refuse(&refusal).await;
}

async fn answer_closed(run: &mut RequestRun, state: KeyState) {
    match state {
        KeyState::Done { response: Some(answer), .. } => {
            let mut response =
                build_response(answer.http_status, &answer.content_type, answer.body);
            set_result_headers(&mut response, &run.request.key, ResultCode::Replayed);
            run.sink.send_response(response);
        }
        KeyState::Done { .. } => {
            run.sink.refuse(&Refusal::of(ResultCode::AnswerNotKept)).await;
        }
        KeyState::Running { .. } | KeyState::Unknown => {
            run.sink.refuse(&Refusal::of(ResultCode::OutcomeUnknown)).await;
        }
    }
}

async fn look_again(run: &RequestRun) -> Result<KeyEntry, Refusal> {
    let (context, request) = (&run.context, &run.request);
    let out_of_reach = |reason: String| {
        Refusal::new(ResultCode::OwnerOutOfReach, reason).retry_after(Some(ASK_AGAIN_AFTER))
    };
    let owner_vm_id =
        find_owner(context, request).map_err(|error| out_of_reach(error.to_string()))?;
    let entry = lookup_request(context, &owner_vm_id, &request.budget_id, &request.key)
        .await
        .map_err(|error| out_of_reach(error.to_string()))?;
    let entry = entry.ok_or_else(|| {
        Refusal::new(ResultCode::AttemptsFailed, "the first request under the key did not run")
            .retry_after(Some(ASK_AGAIN_AFTER))
    })?;
    if entry.binding != request.binding {
        return Err(Refusal::of(ResultCode::KeyBodyMismatch));
    }
    Ok(entry)
}
