//! Validates a caller's request before a backend server is chosen or tokens are reserved.

use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Deserialize;
use tokio::time::Instant;
use volo_http::body::Body;

use crate::core::active_bundle::ActiveBundle;
use crate::core::caller_request::CallerRequest;
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::mint_key::minting_data_centre;
use sassafrashoist_bundle::account::ClientAccount;
use sassafrashoist_bundle::route::{Route, RouteKind};
use sassafrashoist_core::ids::{DataCentreId, RequestKey, Tokens};
use sassafrashoist_core::rendezvous::choose_owner;
use sassafrashoist_core::requests::key_entry::KeyBinding;
use sassafrashoist_core::requests::request_hash::hash_body;
use sassafrashoist_core::result_code::ResultCode;
use std::sync::Arc;

/// The largest accepted request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// The largest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// The number of the least urgent priority.
const LOWEST_PRIORITY: u8 = 9;

/// The fields of a model request's body that the router reads.
#[derive(Debug, Deserialize)]
struct ModelBody {
    max_tokens: Option<Tokens>,
    stream: Option<bool>,
}

/// Validates a caller's request.
///
/// # Errors
///
/// Fails with the refusal to send to the caller; nothing is charged.
pub async fn read_request(
    context: &RouterContext,
    bundle: &ActiveBundle,
    request: Request<Body>,
) -> Result<CallerRequest, Refusal> {
    let received_at = Instant::now();
    let (head, body) = request.into_parts();
    let account = authenticate(bundle, &head.headers)?;
    let route =
        bundle.route(head.uri.path()).ok_or_else(|| Refusal::of(ResultCode::UnknownRoute))?;
    if head.method != http::Method::POST {
        return Err(Refusal::of(ResultCode::MethodNotAllowed));
    }
    let budget_id =
        bundle.budget_for(&account, &route).ok_or_else(|| Refusal::of(ResultCode::UnknownRoute))?;
    let caller_key = read_key(&head.headers)?;
    if caller_key.is_none() && !route.is_idempotent {
        return Err(Refusal::of(ResultCode::MissingIdempotencyKey));
    }
    let body = read_body(body).await?;
    let model_body = read_model_body(&route, &body)?;
    let requested_tokens = model_body.as_ref().and_then(|body| body.max_tokens);
    let max_output_tokens = read_max_tokens(&head.headers, &route, requested_tokens)?;
    let worst_case_tokens = worst_case(&route, &body, max_output_tokens);
    let priority =
        read_number(&head.headers, "x-priority")?.unwrap_or(u64::from(route.default_priority));
    if priority > u64::from(LOWEST_PRIORITY) {
        return Err(Refusal::new(ResultCode::MalformedHeader, "x-priority: expected 0 to 9"));
    }
    let timeout = read_number(&head.headers, "x-timeout-ms")?
        .map_or(route.timeout, |millis| Duration::from_millis(millis).min(route.timeout));
    let binding = KeyBinding {
        account_id: account.id.clone(),
        route_id: route.id.clone(),
        body_hash: hash_body(&body),
    };
    let (key, owner_data_centre_id) = match &caller_key {
        Some(key) => (scope_key(&account.id, key), key_data_centre(context, bundle, key)),
        None => (context.registry.next_key(), context.settings.data_centre_id.clone()),
    };
    Ok(CallerRequest {
        key,
        is_keyed: caller_key.is_some(),
        owner_data_centre_id,
        binding,
        account,
        route,
        budget_id,
        max_output_tokens,
        worst_case_tokens,
        priority: priority as u8,
        deadline: received_at + timeout,
        is_stream: model_body.and_then(|body| body.stream).unwrap_or(false),
        body,
    })
}

/// Returns the account that the request's caller key belongs to.
///
/// # Errors
///
/// Fails when the key is missing or unknown.
pub fn authenticate(
    bundle: &ActiveBundle,
    headers: &HeaderMap,
) -> Result<Arc<ClientAccount>, Refusal> {
    let wrong = || Refusal::of(ResultCode::WrongCallerKey);
    let value = headers.get(AUTHORIZATION).ok_or_else(wrong)?;
    let key =
        value.to_str().ok().and_then(|text| text.strip_prefix("Bearer ")).ok_or_else(wrong)?;
    bundle.authenticate(key.trim()).ok_or_else(wrong)
}

/// Returns the key under which the owner stores a request. It includes the account, since two
/// accounts may use the same caller key.
pub fn scope_key(account_id: &str, caller_key: &str) -> RequestKey {
    format!("{account_id}/{caller_key}")
}

/// Returns the data centre whose owner VM stores the entry of a caller's key.
pub fn key_data_centre(
    context: &RouterContext,
    bundle: &ActiveBundle,
    caller_key: &str,
) -> DataCentreId {
    let known = || bundle.data_centre_ids().map(String::as_str);
    if let Some(minted_in) = minting_data_centre(caller_key)
        && known().any(|data_centre_id| data_centre_id == minted_in)
    {
        return minted_in.to_owned();
    }
    choose_owner(caller_key, known()).unwrap_or(&context.settings.data_centre_id).to_owned()
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let is_well_formed =
        (1..=MAX_KEY_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic);
    match value.to_str() {
        Ok(text) if is_well_formed => Ok(Some(text.to_owned())),
        _ => Err(Refusal::of(ResultCode::MalformedIdempotencyKey)),
    }
}

async fn read_body(body: Body) -> Result<Bytes, Refusal> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(Refusal::of(ResultCode::BodyTooLarge))
        }
        Err(error) => Err(Refusal::new(
            ResultCode::MalformedBody,
            format!("failed to read the body: {error}"),
        )),
    }
}

fn read_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(number) => Ok(Some(number)),
        None => Err(Refusal::new(
            ResultCode::MalformedHeader,
            format!("{name}: expected a whole number"),
        )),
    }
}

fn read_model_body(route: &Route, body: &Bytes) -> Result<Option<ModelBody>, Refusal> {
    let RouteKind::Model { .. } = route.kind else {
        return Ok(None);
    };
    serde_json::from_slice(body)
        .map(Some)
        .map_err(|error| Refusal::new(ResultCode::MalformedBody, error.to_string()))
}

fn read_max_tokens(
    headers: &HeaderMap,
    route: &Route,
    requested_tokens: Option<Tokens>,
) -> Result<Tokens, Refusal> {
    let RouteKind::Model { max_output_tokens, .. } = route.kind else {
        return Ok(0);
    };
    let requested = read_number(headers, "x-max-tokens")?.or(requested_tokens);
    let max_tokens = requested.unwrap_or(max_output_tokens);
    if max_tokens == 0 {
        return Err(Refusal::new(
            ResultCode::MalformedHeader,
            "max_tokens or x-max-tokens: expected 1 or more",
        ));
    }
    Ok(max_tokens.min(max_output_tokens))
}

/// Returns the most that a request can cost. A prompt token has at least one byte, so the body
/// length bounds the number of prompt tokens.
fn worst_case(route: &Route, body: &Bytes, max_output_tokens: Tokens) -> Tokens {
    match route.kind {
        RouteKind::Service { price_tokens, .. } => price_tokens,
        RouteKind::Model { max_prompt_tokens, .. } => {
            (body.len() as Tokens).min(max_prompt_tokens) + max_output_tokens
        }
    }
}
