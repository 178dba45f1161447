//! Answers a request that got no place on a backend server, or none within its account's limits.
//!
//! A request with a caller's key may be the repetition of one that runs or ran. It is told *not
//! run* only when the owner knows nothing of its key; otherwise it follows the first request.

use crate::core::refusal::Refusal;
use crate::ops::admit_request::{find_owner, lookup_request};
use crate::ops::follow_known_key::follow_known_key;
use crate::ops::run_attempts::RequestRun;
use sassafrashoist_core::result_code::ResultCode;

/// Answers a request that got no place on a backend server.
pub async fn refuse_place(run: &mut RequestRun, refusal: &Refusal) {
    if !run.request.is_keyed {
        return run.sink.refuse(refusal).await;
    }
    let entry = match find_owner(&run.context, &run.request) {
        Ok(owner_vm_id) => {
            let request = &run.request;
            lookup_request(&run.context, &owner_vm_id, &request.budget_id, &request.key).await
        }
        Err(error) => Err(error),
    };
    match entry {
        Ok(None) => run.sink.refuse(refusal).await,
        Ok(Some(entry)) if entry.binding != run.request.binding => {
            run.sink.refuse(&Refusal::of(ResultCode::KeyBodyMismatch)).await;
        }
        Ok(Some(entry)) => follow_known_key(run, entry.state).await,
        Err(error) => {
            let unknown = Refusal::new(ResultCode::OwnerOutOfReach, error.to_string());
            run.sink.refuse(&unknown.retry_after(refusal.retry_after)).await;
        }
    }
}
