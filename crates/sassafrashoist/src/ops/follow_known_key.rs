//! Answers a request whose key is known: the caller gets what became of the first one.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::caller_request::CallerRequest;
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::{find_owner, lookup_request};
use crate::ops::handle_request::{AnswerSender, answer_refusal};
use crate::util::http_answer::{build_answer, set_result};
use sassafrashoist_core::requests::key_entry::KeyState;
use sassafrashoist_core::result_code::ResultCode;

/// Time between two looks at a request that is still running.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(20);

/// Answers with what became of the first request under the key, waiting while it runs.
pub async fn follow_known_key(
    context: &RouterContext,
    request: &CallerRequest,
    first_state: KeyState,
    sender: AnswerSender,
) {
    let deadline = Instant::now() + request.timeout;
    let mut state = first_state;
    while matches!(state, KeyState::Running { .. }) {
        if Instant::now() >= deadline {
            return answer_refusal(request, sender, &Refusal::of(ResultCode::DeadlinePassed));
        }
        tokio::time::sleep(LOOKUP_INTERVAL).await;
        state = match look_again(context, request).await {
            Ok(state) => state,
            Err(refusal) => return answer_refusal(request, sender, &refusal),
        };
    }
    match state {
        KeyState::Done { answer: Some(answer), .. } => {
            let mut response = build_answer(answer.http_status, &answer.content_type, answer.body);
            set_result(&mut response, &request.key, ResultCode::Replayed);
            let _ = sender.send(response);
        }
        KeyState::Done { .. } => {
            answer_refusal(request, sender, &Refusal::of(ResultCode::AnswerNotKept));
        }
        KeyState::Running { .. } | KeyState::Unknown => {
            answer_refusal(request, sender, &Refusal::of(ResultCode::OutcomeUnknown));
        }
    }
}

async fn look_again(context: &RouterContext, request: &CallerRequest) -> Result<KeyState, Refusal> {
    let out_of_reach = |reason: String| Refusal::new(ResultCode::OwnerOutOfReach, reason);
    let owner_vm_id =
        find_owner(context, request).map_err(|error| out_of_reach(error.to_string()))?;
    let entry = lookup_request(context, &owner_vm_id, &request.budget_id, &request.key)
        .await
        .map_err(|error| out_of_reach(error.to_string()))?;
    entry.map(|entry| entry.state).ok_or_else(|| {
        Refusal::new(ResultCode::AttemptsFailed, "the first request under the key did not run")
            .retry_after(Some(Duration::from_secs(1)))
    })
}
