//! Handles one request of a caller from its head to its response.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use sassafrashoist_adapter::request_headers::{CallerHeaders, single_host};
use sassafrashoist_adapter::response_headers::encode_refusal;
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::caller_departure::MAX_SETTLING_TIME;
use sassafrashoist_core::gateway::route::{Destination, Repeatability};
use sassafrashoist_core::gateway::route_table::{NotAllowed, RouteTable};
use sassafrashoist_core::ids::{RequestId, Tokens};
use tokio_util::sync::CancellationToken;

use super::counted_body::CountedBody;
use super::disconnect_guard::DisconnectGuard;
use super::find_stream_origin::{UnknownOrigin, find_stream_origin};
use super::gateway_context::GatewayContext;
use super::held_vec::HeldVec;
use super::isolate_suspects::check_quarantine;
use super::obtain_tokens::{NoTokens, WorstCase, obtain_tokens};
use super::refuse_by_config::{RequestTarget, refuse_by_age, refuse_by_config};
use super::refuse_by_link::refuse_by_link;
use super::request_body::RequestBody;
use super::request_context::{RequestContext, ResumedStream};
use super::request_progress::RequestProgress;
use super::response_body::{ResponseBody, full_response};
use super::run_attempts::{STOPPING, run_attempts, unread_response};
use super::token_reservation::TokenReservation;

/// The retry delay while this VM has not read a configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The retry delay while this VM holds as many requests as fit into its memory; other VMs may be idle.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The retry delay while a VM that may know the software version of a stream cannot be reached.
const KEEPER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A response that this VM itself makes, in place of one from a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// The status.
    pub status: StatusCode,
    /// The delay before a retry; `None` if the caller should not retry.
    pub retry_after: Option<Duration>,
    /// The cause, which is also the response body and a metric label.
    pub reason: &'static str,
    /// Whether the configuration decided, so that a newer one may allow the request.
    pub is_by_config: bool,
}

impl Refusal {
    /// Creates a refusal of a request that the caller should not retry.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, retry_after: None, reason, is_by_config: false }
    }

    /// Creates a refusal of a request that the configuration does not allow.
    pub fn by_config(status: StatusCode, reason: &'static str) -> Self {
        Self { is_by_config: true, ..Self::new(status, reason) }
    }

    /// Creates a refusal of a request that has not run; the caller may retry after `delay` plus
    /// jitter.
    pub fn retry_later(delay: Duration, reason: &'static str) -> Self {
        let jitter = 1.0 + rand::random::<f64>();
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(delay.mul_f64(jitter)),
            reason,
            is_by_config: false,
        }
    }

    /// Adds a time before which a retry would be refused again.
    pub fn not_before(self, time: Duration) -> Self {
        Self { retry_after: self.retry_after.map(|delay| delay.saturating_add(time)), ..self }
    }

    /// Counts and logs the refusal and builds the response.
    pub fn into_response(self, id: &str, detail: &dyn fmt::Display) -> Response<ResponseBody> {
        metrics::counter!("sassafrashoist_refusals_total", "reason" => self.reason).increment(1);
        log::info!(
            id = id, status = self.status.as_u16(), reason = self.reason, detail:% = detail,
            retry_after_ms = self.retry_after.map_or(0, |delay| delay.as_millis() as u64);
            "request refused"
        );
        let request_id = (id != "-").then_some(id);
        let headers = encode_refusal(request_id, self.retry_after);
        full_response(self.status, headers, Bytes::from_static(self.reason.as_bytes()))
    }
}

impl From<NotAllowed> for Refusal {
    fn from(not_allowed: NotAllowed) -> Self {
        match not_allowed {
            NotAllowed::NoRoute => Self::by_config(StatusCode::NOT_FOUND, "no route matches"),
            NotAllowed::UnknownKey => Self::by_config(StatusCode::UNAUTHORIZED, "key is not known"),
        }
    }
}

/// Serves a request; reports a caller that disconnects before its response has started.
pub async fn serve_request(
    context: &Arc<GatewayContext>,
    request: Request<RequestBody>,
) -> Response<ResponseBody> {
    let _in_progress = context.requests.token();
    let (parts, body) = request.into_parts();
    let caller = CallerHeaders::decode(&parts.headers);
    let id = caller.request_id.clone().unwrap_or_else(|| "-".to_owned());
    let disconnect_guard = DisconnectGuard::new(id.clone(), &context.exiting);
    let progress = Arc::<RequestProgress>::default();
    let handled = handle_request(context, id.clone(), caller, parts, body, Arc::clone(&progress));
    let response = tokio::select! {
        biased;
        response = handled => response,
        () = context.serving_ended.cancelled() => refuse_cut_off(&id, &progress),
    };
    disconnect_guard.disarm();
    response
}

/// Responds to a request that has no response when this VM exits.
fn refuse_cut_off(id: &str, progress: &RequestProgress) -> Response<ResponseBody> {
    let refusal = if progress.was_sent() {
        Refusal::new(StatusCode::BAD_GATEWAY, "VM stopped before the response")
    } else {
        Refusal::retry_later(Duration::ZERO, STOPPING)
    };
    refusal.into_response(id, &"")
}

async fn handle_request(
    context: &Arc<GatewayContext>,
    id: RequestId,
    caller: CallerHeaders,
    parts: Parts,
    body: RequestBody,
    progress: Arc<RequestProgress>,
) -> Response<ResponseBody> {
    let arrived_at = context.now();
    if !context.can_hold_requests() {
        context.record_turned_away("too many requests are in progress");
        let held_bytes = context.lock_memory().held_bytes();
        return Refusal::retry_later(FULL_RETRY_AFTER, "VM holds too many requests").into_response(
            &id,
            &format_args!("{} in progress, {held_bytes} bytes held", context.requests.len()),
        );
    }
    let Some(routes) = context.routes() else {
        let refusal = Refusal::retry_later(STARTING_RETRY_AFTER, "no configuration known yet");
        return refusal.into_response(&id, &"");
    };
    let version = routes.config().version;
    let target = RequestTarget::of(&parts);
    if let Some(response) = refuse_by_age(context, version, &id, &target) {
        return response;
    }
    let mut request = match resolve_request(&routes, parts, caller, arrived_at, progress) {
        Ok(request) => request,
        Err(refusal) => {
            return refuse_by_config(context, version, refusal, &id, &target);
        }
    };
    if !context.covers(request.deadline) {
        return Refusal::retry_later(Duration::ZERO, STOPPING).into_response(&id, &"");
    }
    if let Some(response) = refuse_by_link(context, &routes, &request) {
        return response;
    }
    match read_body(&request, context, routes.config().limits.max_body_bytes, body).await {
        Ok(body) => request.set_body(body),
        Err(refusal) => return refuse_by_config(context, version, refusal, &id, &target),
    }
    if request.is_resumption()
        && let Err(refusal) = resolve_stream(context, &routes, &mut request).await
    {
        let stream_id = request.caller.resumed_request_id.as_deref().unwrap_or("-");
        let subject = format_args!("stream {stream_id}");
        return refuse_by_config(context, version, refusal, &id, &subject);
    }
    if let Err(refusal) = check_quarantine(context, &request) {
        return Refusal::retry_later(Duration::ZERO, refusal.reason())
            .not_before(refusal.return_after())
            .into_response(
                &id,
                &format_args!(
                    "fingerprint {}, parts {}",
                    request.fingerprint_text(),
                    request.shared_parts_text()
                ),
            );
    }
    let reservation = match reserve(context, &routes, &request).await {
        Ok(reservation) => reservation,
        Err(refusal) => {
            let account_id = request.account_id.as_deref().unwrap_or("-");
            let subject = format_args!("account {account_id}");
            if !refusal.is_by_config {
                return refusal.into_response(&id, &subject);
            }
            return refuse_by_config(context, version, refusal, &id, &subject);
        }
    };
    context.record_request(&request.pool_id);
    let continues_without_caller = request.route.repeatability == Repeatability::AtMostOnce;
    let route_id = request.route.id.clone();
    let takes_tokens = reservation.is_some();
    let caller_left = request.caller_left.clone();
    let progress = Arc::clone(&request.progress);
    let attempts = run_attempts(Arc::clone(context), Arc::new(request), reservation);
    if !continues_without_caller && !takes_tokens {
        return CountedBody::wrap(attempts.await, context, route_id);
    }
    // A request that may run at most once cannot be retried, so it continues if the caller
    // disconnects. One that takes tokens continues until it is known whether a server has run it.
    let left_guard = (!continues_without_caller).then(|| caller_left.clone().drop_guard());
    let in_progress = context.requests.token();
    let task = tokio::spawn(async move {
        let response = run_until_settled(attempts, &caller_left, &progress).await;
        drop(in_progress);
        response
    });
    let response = task.await.unwrap_or_else(|error| {
        log::error!(id = id, error:% = error; "request failed in the router");
        Refusal::new(StatusCode::BAD_GATEWAY, "internal failure").into_response(&id, &"")
    });
    if let Some(left_guard) = left_guard {
        left_guard.disarm();
    }
    CountedBody::wrap(response, context, route_id)
}

/// Runs the attempts of a request. If its caller leaves, they end as soon as it is known whether a
/// server has begun to run it, at the latest after [`MAX_SETTLING_TIME`].
async fn run_until_settled(
    attempts: impl Future<Output = Response<ResponseBody>>,
    caller_left: &CancellationToken,
    progress: &RequestProgress,
) -> Response<ResponseBody> {
    tokio::pin!(attempts);
    tokio::select! {
        biased;
        response = &mut attempts => return response,
        () = caller_left.cancelled() => {}
    }
    if progress.was_sent()
        && let Ok(response) = tokio::time::timeout(MAX_SETTLING_TIME, attempts).await
    {
        return response;
    }
    unread_response()
}

/// Finds the route, pool and client account of a request whose body has not been read yet.
fn resolve_request(
    routes: &RouteTable,
    mut parts: Parts,
    caller: CallerHeaders,
    arrived_at: Uptime,
    progress: Arc<RequestProgress>,
) -> Result<RequestContext, Refusal> {
    let presence = parts.extensions.remove();
    let Some(host) = parts.uri.host().or_else(|| single_host(&parts.headers)) else {
        return Err(Refusal::new(StatusCode::BAD_REQUEST, "host is missing or ambiguous"));
    };
    let route = routes.find_route(host, parts.uri.path())?;
    let account = routes.authorise(route, caller.api_key.as_deref())?;
    let Some(pool_id) = route.choose_pool(rand::random()) else {
        return Err(Refusal::by_config(StatusCode::NOT_FOUND, "route has no destination"));
    };
    let timeout = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
    Ok(RequestContext {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        caller,
        body: Bytes::new(),
        fingerprint: None,
        route: route.clone(),
        pool_id: pool_id.clone(),
        tokens_per_event: tokens_per_event(routes, pool_id),
        resumed: None,
        account_id: account.map(|account| account.id.clone()),
        priority: account.and_then(|account| account.priority).unwrap_or(route.priority),
        arrived_at,
        deadline: arrived_at + timeout,
        presence,
        progress,
        caller_left: CancellationToken::new(),
    })
}

/// Returns the output tokens per event of a pool if it consists of engines.
fn tokens_per_event(routes: &RouteTable, pool_id: &str) -> Option<Tokens> {
    let engine = routes.config().pool(pool_id)?.engine?;
    Some(engine.tokens_per_event)
}

/// Finds where the stream began that a request resumes, and the pool at which it goes on.
async fn resolve_stream(
    context: &Arc<GatewayContext>,
    routes: &RouteTable,
    request: &mut RequestContext,
) -> Result<(), Refusal> {
    let found = find_stream_origin(context, request).await.map_err(|unknown| match unknown {
        UnknownOrigin::KeeperOutOfReach => {
            Refusal::retry_later(KEEPER_RETRY_AFTER, "software version of the stream out of reach")
        }
        UnknownOrigin::LogOutOfReach => {
            Refusal::retry_later(KEEPER_RETRY_AFTER, "origins of streams out of reach")
        }
        UnknownOrigin::ListOutOfReach => {
            Refusal::retry_later(KEEPER_RETRY_AFTER, "list of software versions out of reach")
        }
        UnknownOrigin::ListTooRecent(delay) => {
            Refusal::retry_later(KEEPER_RETRY_AFTER, "list of software versions may lack a server")
                .not_before(delay)
        }
        UnknownOrigin::ConfigOutOfReach => {
            Refusal::retry_later(KEEPER_RETRY_AFTER, "newest configuration out of reach")
        }
        UnknownOrigin::NotKept => Refusal::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "software version of the stream is not known",
        ),
    })?;
    let ResumedStream { origin, .. } = &found;
    let goes_to_pool = |destination: &Destination| destination.pool_id == origin.pool_id;
    if !request.route.destinations.iter().any(goes_to_pool) {
        return Err(refuse_moved_stream(context, request, &origin.pool_id));
    }
    if !context.lock_servers().has_version(&origin.pool_id, &origin.software_version) {
        return Err(Refusal::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no server of the stream's software version",
        ));
    }
    request.pool_id.clone_from(&origin.pool_id);
    request.tokens_per_event = tokens_per_event(routes, &origin.pool_id);
    request.resumed = Some(found);
    Ok(())
}

/// Refuses a request that resumes a stream of a pool to which its route does not lead.
///
/// What another service sends does not go on with the stream, and the new configuration does not allow
/// the old one. If the route has never led there on this VM, another VM has a newer configuration.
fn refuse_moved_stream(
    context: &GatewayContext,
    request: &RequestContext,
    pool_id: &str,
) -> Refusal {
    let (host, path) = (&request.route.host, request.uri.path());
    if context.lock_routes().has_led_to(host, path, pool_id, context.now()) {
        return Refusal::by_config(
            StatusCode::SERVICE_UNAVAILABLE,
            "route no longer leads to the service that began the stream",
        );
    }
    Refusal::retry_later(
        KEEPER_RETRY_AFTER,
        "route is not known to lead to the service that began the stream",
    )
}

/// Reads the body of a request; refuses one that does not fit into the memory, before it is read if
/// its length is known.
async fn read_body(
    request: &RequestContext,
    context: &Arc<GatewayContext>,
    max_bytes: usize,
    body: RequestBody,
) -> Result<Bytes, Refusal> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > max_bytes as u64) {
        return Err(too_long());
    }
    let mut held = HeldVec::new(context);
    if length.is_some_and(|length| !held.try_reserve(length as usize)) {
        return Err(no_memory());
    }
    let mut body = Limited::new(body, max_bytes);
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                true => too_long(),
                false => {
                    log::debug!(id = request.id(), error:% = error; "request body not read");
                    Refusal::new(StatusCode::BAD_REQUEST, "body cannot be read")
                }
            })?;
            if frame.data_ref().is_some_and(|data| !held.try_extend(data)) {
                return Err(no_memory());
            }
        }
        Ok(held.into_bytes())
    };
    match tokio::time::timeout_at(context.instant(request.deadline), read).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "body came too slowly")),
    }
}

fn too_long() -> Refusal {
    Refusal::by_config(StatusCode::PAYLOAD_TOO_LARGE, "body is too long")
}

fn no_memory() -> Refusal {
    Refusal::retry_later(FULL_RETRY_AFTER, "VM has no memory left for the body")
}

/// Reserves the tokens of a request; `None` if its account has no budget or it needs no tokens.
async fn reserve(
    context: &Arc<GatewayContext>,
    routes: &RouteTable,
    request: &RequestContext,
) -> Result<Option<TokenReservation>, Refusal> {
    let Some(account_id) = &request.account_id else {
        return Ok(None);
    };
    let paid_tokens: Option<Tokens> = routes.config().paid_tokens(account_id);
    let (Some(paid_tokens), Some((prompt_tokens, output_tokens))) =
        (paid_tokens, request.caller.prompt_and_output_tokens)
    else {
        return Ok(None);
    };
    let worst_case = WorstCase { prompt_tokens, output_tokens };
    match obtain_tokens(context, account_id, paid_tokens, worst_case).await {
        Ok(reservation) => Ok(Some(reservation)),
        Err(NoTokens::Exhausted) => Err(Refusal::by_config(
            StatusCode::PAYMENT_REQUIRED,
            "budget does not cover the request",
        )),
        // Other VMs may have tokens, and this one returns its own.
        Err(NoTokens::OutOfReach(_)) if context.draining.is_cancelled() => {
            Err(Refusal::retry_later(Duration::ZERO, STOPPING))
        }
        Err(NoTokens::OutOfReach(delay)) => {
            Err(Refusal::retry_later(delay, "tokens are out of reach"))
        }
    }
}
