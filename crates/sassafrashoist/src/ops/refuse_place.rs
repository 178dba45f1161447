//! Answers a request that got no place on a backend server.
//!
//! A request with a caller's key may be the repetition of one that runs or ran. It is told *not
//! run* only when the owner knows nothing of its key; otherwise it follows the first request.

use crate::core::caller_request::CallerRequest;
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::{find_owner, lookup_request};
use crate::ops::follow_known_key::follow_known_key;
use crate::ops::handle_request::{AnswerSender, answer_refusal};
use sassafrashoist_core::result_code::ResultCode;

/// Answers a request that got no place on a backend server.
pub async fn refuse_place(
    context: &RouterContext,
    request: &CallerRequest,
    refusal: &Refusal,
    sender: AnswerSender,
) {
    if !request.is_keyed {
        return answer_refusal(request, sender, refusal);
    }
    let entry = match find_owner(context, request) {
        Ok(owner_vm_id) => lookup_request(context, &owner_vm_id, &request.key).await,
        Err(error) => Err(error),
    };
    match entry {
        Ok(None) => answer_refusal(request, sender, refusal),
        Ok(Some(entry)) if entry.binding != request.binding => {
            answer_refusal(request, sender, &Refusal::of(ResultCode::KeyBodyMismatch));
        }
        Ok(Some(entry)) => follow_known_key(context, request, entry.state, sender).await,
        Err(error) => {
            let unknown = Refusal::new(ResultCode::OwnerOutOfReach, error.to_string());
            answer_refusal(request, sender, &unknown.retry_after(refusal.retry_after));
        }
    }
}
