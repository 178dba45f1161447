//! Responds to a request that got no slot on a backend server or exceeds its account's limits.
//!
//! A request with a caller's key may be a retry of one that is running or has run. It is refused as
//! *not run* only when the owner has no entry of its key; otherwise the caller gets the response of
//! the first request.

use crate::core::refusal::Refusal;
use crate::ops::admit_request::{find_owner, lookup_request};
use crate::ops::await_known_request::await_known_request;
use crate::ops::run_attempts::ActiveRequest;
use sassafrashoist_core::result_code::ResultCode;

/// Refuses a request that cannot be sent now, unless its key is already known to the owner.
pub async fn refuse_unless_known(active: &mut ActiveRequest, refusal: &Refusal) {
    if !active.request.is_keyed {
        return active.sink.refuse(refusal).await;
    }
    let entry = match find_owner(&active.context, &active.request) {
        Ok(owner_vm_id) => {
            let request = &active.request;
            lookup_request(&active.context, &owner_vm_id, &request.budget_id, &request.key).await
        }
        Err(error) => Err(error),
    };
    match entry {
        Ok(None) => active.sink.refuse(refusal).await,
        Ok(Some(entry)) if entry.binding != active.request.binding => {
            active.sink.refuse(&Refusal::of(ResultCode::KeyBodyMismatch)).await;
        }
        Ok(Some(entry)) => await_known_request(active, entry.state).await,
        Err(error) => {
            let unknown = Refusal::new(ResultCode::OwnerOutOfReach, error.to_string());
            active.sink.refuse(&unknown.retry_after(refusal.retry_after)).await;
        }
    }
}
