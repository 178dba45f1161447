//! Chooses the backend server of an attempt.

use serde::Deserialize;

use crate::core::backend_dispatcher::{SlotRefusal, SlotRequest};
use crate::core::caller_request::CallerRequest;
use crate::core::chosen_server::ChosenServer;
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use sassafrashoist_bundle::route::RouteKind;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::{BackendServerId, ModelId};
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::choose::ServerRequirements;
use sassafrashoist_core::routing::prefix_index::{BlockHash, hash_prompt_blocks};

/// The fields of a model request's body that hold the prompt.
#[derive(Debug, Deserialize)]
struct PromptBody {
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<PromptMessage>,
}

#[derive(Debug, Deserialize)]
struct PromptMessage {
    #[serde(default)]
    content: serde_json::Value,
}

/// Chooses the backend server of a request's first attempt. Waits in the queue for a slot if one is
/// expected in time.
///
/// # Errors
///
/// Fails with the refusal to send to the caller when no slot can be had in time.
pub async fn choose_backend(
    context: &RouterContext,
    request: &CallerRequest,
) -> Result<ChosenServer, Refusal> {
    let slot_request = SlotRequest {
        requirements: build_requirements(request, &[]),
        account_id: request.account.id.clone(),
        priority: request.priority,
        cost_tokens: request.worst_case_tokens,
        timeout: request.time_left(),
    };
    let result = context.tables.dispatcher().acquire_slot(slot_request).await;
    record_choice(context, request, result)
}

/// Chooses the backend server of a later attempt, without waiting for a slot.
///
/// # Errors
///
/// Fails with the refusal to send to the caller when no server can be used now.
pub fn choose_next_backend(
    context: &RouterContext,
    request: &CallerRequest,
    excluded: &[BackendServerId],
) -> Result<ChosenServer, Refusal> {
    let requirements = build_requirements(request, excluded);
    let result = context.tables.dispatcher().try_acquire_slot(&requirements);
    record_choice(context, request, result)
}

fn build_requirements(request: &CallerRequest, excluded: &[BackendServerId]) -> ServerRequirements {
    let (model_id, blocks) = match &request.route.kind {
        RouteKind::Model { model_id, .. } => {
            (Some(ModelId::clone(model_id)), hash_prompt(&request.body))
        }
        RouteKind::Service { .. } => (None, Vec::new()),
    };
    ServerRequirements {
        pool_id: request.route.pool_id.clone(),
        model_id,
        excluded: excluded.to_vec(),
        blocks,
        reserved_slot_count: 0,
    }
}

/// Hashes the blocks at the start of the prompt; a body that cannot be parsed has none.
fn hash_prompt(body: &[u8]) -> Vec<BlockHash> {
    let Ok(body) = serde_json::from_slice::<PromptBody>(body) else {
        return Vec::new();
    };
    if let Some(prompt) = body.prompt {
        return hash_prompt_blocks(prompt.as_bytes());
    }
    let contents = body.messages.iter().map(|message| match &message.content {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    });
    hash_prompt_blocks(contents.collect::<Vec<_>>().join("\n").as_bytes())
}

fn record_choice(
    context: &RouterContext,
    request: &CallerRequest,
    result: Result<ChosenServer, SlotRefusal>,
) -> Result<ChosenServer, Refusal> {
    match result {
        Ok(server) => {
            let choice = server.choice();
            let reason = format!(
                "server {} at load {} with {} of the prompt cached, in thousandths",
                choice.server.server_id, choice.load_per_mille, choice.cached_prefix_per_mille
            );
            context.record_decision(&request.key, DecisionKind::Route, ResultCode::Done, reason);
            Ok(server)
        }
        Err(refusal) => {
            let reason = format!("no server of pool {} can be used", request.route.pool_id);
            context.record_decision(&request.key, DecisionKind::Route, refusal.code, reason);
            Err(Refusal::of(refusal.code).retry_after(Some(refusal.retry_after)))
        }
    }
}
