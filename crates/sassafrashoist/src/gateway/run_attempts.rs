//! Sends a request to backend servers until one responds.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use sassafrashoist_adapter::response_headers::encode_response;
use sassafrashoist_core::gateway::placement_cost::PlacementCost;
use sassafrashoist_core::gateway::server_directory::ServerChoice;
use sassafrashoist_core::ids::BackendServerId;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;
use sassafrashoist_platform::response_framing::ResponseFraming;

use super::buffered_body::BufferedBody;
use super::choose_server::{NoServer, choose_server};
use super::forward_events::{NoFirstEvent, forward_events, read_first_event};
use super::gateway_context::GatewayContext;
use super::isolate_suspects::admit_attempt;
use super::report_server_end::report_lost_connection;
use super::request_context::RequestContext;
use super::response_body::{ResponseBody, body_of_unknown_length, full_response, streamed_body};
use super::send_attempt::{
    AttemptStart, MIN_TIME_LEFT, ServerSlot, StartedResponse, is_caller_there, send_attempt,
};
use super::serve_request::Refusal;
use super::server_body::ServerBody;
use super::share_crashes::record_answer;
use super::silence_limit::SilenceLimit;
use super::token_reservation::TokenReservation;
use crate::util::http_response::delimit_by_close;
use crate::util::streamed_body::BodySender;

/// The maximum number of servers that are tried, including those that did not run the request.
pub const MAX_SERVERS_TRIED: u32 = 4;
/// The retry delay when no server has run the request.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The reason when this VM stops too soon for a request. Other VMs take it at once.
pub const STOPPING: &str = "VM stops";
/// The reason when too little time is left before the deadline.
const DEADLINE_REACHED: &str = "deadline reached";
/// The reason when the caller has left, which nobody reads.
const CALLER_LEFT: &str = "caller left";
/// The reason when a server that is silent was given up and no other served the request.
const SERVER_SILENT: &str = "server is silent";
/// The minimum time that a server must be unresponsive before a request that may run again is sent
/// to another server.
const MIN_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(300);
/// A response body up to this length is buffered and forwarded when complete, so that the request
/// can be retried if the response is cut off.
const MAX_BUFFERED_BYTES: usize = 262_144;
/// The maximum number of buffered chunks of a long response body.
const BODY_CHUNK_CAPACITY: usize = 4;

/// Counts of the attempts of one request so far.
#[derive(Debug, Default, Clone, Copy)]
pub struct AttemptCounts {
    /// Servers that were tried.
    pub sent: u32,
    /// Servers that the request reached.
    pub delivered: u32,
    /// Servers that may have run the request.
    pub may_have_run: u32,
}

impl AttemptCounts {
    /// Counts a server that the request reached and that may have run it.
    fn record_possible_run(&mut self) {
        self.delivered += 1;
        self.may_have_run += 1;
    }

    /// Returns whether the request may run on one more server.
    pub fn allows_run(&self, request: &RequestContext) -> bool {
        self.may_have_run == 0
            || (request.route.repeatability.may_run_again()
                && self.may_have_run < request.route.max_attempts)
    }

    /// Returns whether the request may run on another server after the current attempt.
    pub fn allows_another_run(&self, request: &RequestContext) -> bool {
        request.route.repeatability.may_run_again()
            && self.may_have_run + 1 < request.route.max_attempts
            && self.sent < MAX_SERVERS_TRIED
    }
}

/// Sends a request to backend servers until one responds.
pub async fn run_attempts(
    context: Arc<GatewayContext>,
    request: Arc<RequestContext>,
    mut reservation: Option<TokenReservation>,
) -> Response<ResponseBody> {
    let mut requirements = request.server_requirements();
    let mut counts = AttemptCounts::default();
    let mut failure = "no server";
    let mut return_after = Duration::ZERO;
    let mut last_server_id: Option<BackendServerId> = None;
    let mut is_retry_counted = false;
    while counts.sent < MAX_SERVERS_TRIED && counts.allows_run(&request) {
        if request.time_left(context.now()) < MIN_TIME_LEFT {
            failure = DEADLINE_REACHED;
            break;
        }
        // A request that has run is not refused any more.
        if counts.may_have_run == 0 && !context.covers(request.deadline) {
            failure = STOPPING;
            break;
        }
        if !is_caller_there(&context, &request).await {
            failure = CALLER_LEFT;
            break;
        }
        let trial = match admit_attempt(&context, &request, last_server_id.as_deref()).await {
            Ok(trial) => trial,
            Err(refusal) => {
                failure = refusal.reason();
                return_after = refusal.return_after();
                break;
            }
        };
        let needs_retry = counts.delivered > 0 && !std::mem::take(&mut is_retry_counted);
        if needs_retry && !context.try_retry(&request.pool_id) {
            log::info!(id = request.id(), pool = request.pool_id; "retry limit reached");
            break;
        }
        let chosen = match choose_server(&context, &request, &requirements).await {
            Ok(chosen) => chosen,
            Err(NoServer::NoneAvailable) => break,
            Err(NoServer::LimitReached(return_in)) => {
                failure = "limits of the servers reached";
                return_after = return_in;
                break;
            }
        };
        log_choice(&request, &chosen, counts);
        let server_id = chosen.listing.id.clone();
        requirements.excluded.push(server_id.clone());
        counts.sent += 1;
        let silence_limit = counts.allows_another_run(&request).then(|| SilenceLimit {
            timeout: initial_unresponsive_timeout(&request, &chosen),
            requirements: requirements.clone(),
        });
        let silence_limit = silence_limit.as_ref();
        let event_id = request.caller.last_event_id.clone();
        let started =
            match send_attempt(&context, &request, chosen, trial, event_id, silence_limit).await {
                AttemptStart::Served(started) => started,
                AttemptStart::Failed(started) => {
                    counts.record_possible_run();
                    mark_may_have_run(&mut reservation);
                    if counts.allows_run(&request) {
                        last_server_id = Some(server_id);
                        failure = "server failed";
                        continue;
                    }
                    started
                }
                AttemptStart::NotReached => {
                    failure = "server not reached";
                    // More attempts would only fill the link further; a retry reaches another VM.
                    if context.lock_link().is_full(context.now()) {
                        break;
                    }
                    continue;
                }
                AttemptStart::Evacuated => {
                    failure = "data centre evacuated";
                    continue;
                }
                AttemptStart::Stopping => {
                    failure = STOPPING;
                    break;
                }
                AttemptStart::DeadlineReached => {
                    failure = DEADLINE_REACHED;
                    break;
                }
                AttemptStart::CallerLeft => {
                    failure = CALLER_LEFT;
                    break;
                }
                AttemptStart::NotRun(reason) => {
                    failure = reason;
                    counts.delivered += 1;
                    continue;
                }
                AttemptStart::Lost(reason) => {
                    last_server_id = Some(server_id);
                    failure = reason;
                    counts.record_possible_run();
                    mark_may_have_run(&mut reservation);
                    continue;
                }
                AttemptStart::Silent => {
                    last_server_id = Some(server_id);
                    failure = SERVER_SILENT;
                    is_retry_counted = true;
                    counts.record_possible_run();
                    mark_may_have_run(&mut reservation);
                    continue;
                }
            };
        last_server_id = Some(server_id);
        counts.record_possible_run();
        let is_stream =
            request.route.repeatability.is_stream() && started.response.status().is_success();
        if is_stream {
            let first = read_first_event(&context, &request, started, silence_limit).await;
            if !matches!(first, Err(NoFirstEvent::CallerLeft)) {
                mark_may_have_run(&mut reservation);
            }
            match first {
                Ok(first) => return forward_events(context, request, reservation, counts, first),
                Err(NoFirstEvent::ServerSilent) => {
                    failure = SERVER_SILENT;
                    is_retry_counted = true;
                }
                Err(NoFirstEvent::CallerLeft) => failure = CALLER_LEFT,
                Err(NoFirstEvent::Failed(reason)) => failure = reason,
            }
        } else {
            mark_may_have_run(&mut reservation);
            match forward_response(&context, &request, started).await {
                Ok(response) => return response,
                Err(reason) => failure = reason,
            }
        }
    }
    if request.caller_left.is_cancelled() {
        return unread_response();
    }
    refuse_unserved(&context, &request, counts, failure, return_after)
}

/// Returns a response to a request whose caller has left, which nobody reads.
pub fn unread_response() -> Response<ResponseBody> {
    full_response(StatusCode::BAD_GATEWAY, HeaderMap::new(), Bytes::new())
}

fn mark_may_have_run(reservation: &mut Option<TokenReservation>) {
    if let Some(reservation) = reservation {
        reservation.mark_may_have_run();
    }
}

fn refuse_unserved(
    context: &GatewayContext,
    request: &RequestContext,
    counts: AttemptCounts,
    failure: &'static str,
    return_after: Duration,
) -> Response<ResponseBody> {
    let refusal = if counts.may_have_run == 0 {
        let pause_left = context.lock_servers().pause_left(&request.pool_id, context.now());
        let delay = if failure == STOPPING { Duration::ZERO } else { NO_SERVER_RETRY_AFTER };
        Refusal::retry_later(delay, failure).not_before(pause_left.max(return_after))
    } else if request.time_left(context.now()) < MIN_TIME_LEFT {
        Refusal::new(StatusCode::GATEWAY_TIMEOUT, failure)
    } else {
        Refusal::new(StatusCode::BAD_GATEWAY, failure)
    };
    let detail = format!(
        "pool {}, {} sent, {} arrived, {} may have run",
        request.pool_id, counts.sent, counts.delivered, counts.may_have_run
    );
    refusal.into_response(request.id(), &detail)
}

/// Returns how long a server may be unresponsive before its response has started; the attempt then
/// ends.
pub fn initial_unresponsive_timeout(request: &RequestContext, chosen: &ServerChoice) -> Duration {
    let expected = Duration::from_secs_f64(chosen.cost_ms.max(0.0) / 1_000.0);
    request.route.target_latency.max(MIN_UNRESPONSIVE_TIMEOUT + 2 * expected)
}

fn log_choice(request: &RequestContext, chosen: &ServerChoice, counts: AttemptCounts) {
    let placement = chosen.placement.as_ref();
    log::info!(
        id = request.id(), route = request.route.id, pool = request.pool_id,
        account = request.account_id.as_deref().unwrap_or("-"),
        fingerprint:% = request.fingerprint_text(), parts = request.shared_parts_text(),
        server = chosen.listing.id, expected_ms = chosen.cost_ms as u64,
        read_tokens = chosen.prefill_tokens, attempt = counts.sent + 1,
        version = chosen.listing.software_version,
        tokens_ahead = placement.map(|p| p.tokens_ahead as u64),
        tokens_per_ms = placement.map(|p| p.tokens_per_ms),
        slowness = placement.map(|p| p.slowness),
        slowness_age_ms = placement.and_then(|p| Some(p.slowness_age?.as_millis() as u64)),
        imposed_ms = placement.map(PlacementCost::imposed_ms),
        resumes = request.caller.resumed_request_id.as_deref().unwrap_or("-"),
        after_event = request.caller.last_event_id.as_deref().unwrap_or("-");
        "request sent"
    );
}

/// Forwards a response that is not an event stream; fails if it is cut off before any of it was
/// forwarded.
async fn forward_response(
    context: &Arc<GatewayContext>,
    request: &Arc<RequestContext>,
    started: StartedResponse,
) -> Result<Response<ResponseBody>, &'static str> {
    let StartedResponse { response, framing, connection, mut slot } = started;
    slot.record_bytes();
    let (head, mut body) = response.into_parts();
    let headers = encode_response(&head.headers);
    let deadline = context.instant(request.deadline);
    let mut buffered = BufferedBody::new(context);
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(error))) => {
                log::info!(
                    id = request.id(), server = slot.server_id(),
                    framing = framing.as_str(), error:% = error;
                    "answer broken off"
                );
                report_lost_connection(context, request, &slot).await;
                slot.set_failed(error.failure());
                return Err("answer broken off");
            }
            Err(_) => return Err("answer not whole before the deadline"),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        slot.record_bytes();
        if buffered.len() + data.len() > MAX_BUFFERED_BYTES || !buffered.try_push(&data) {
            log::info!(
                id = request.id(), server = slot.server_id(), buffered_bytes = buffered.len();
                "long response forwarded before it is complete"
            );
            let (sender, response_body) = streamed_body(BODY_CHUNK_CAPACITY);
            let held_until_end = (connection, context.requests.token());
            tokio::spawn(async move {
                let forwarding = forward_long_body(buffered, data, body, sender, slot);
                if tokio::time::timeout_at(deadline, forwarding).await.is_err() {
                    log::info!("long response cut off at the deadline");
                }
                drop(held_until_end);
            });
            let mut response = Response::new(response_body);
            *response.status_mut() = head.status;
            *response.headers_mut() = headers;
            if !framing.marks_end() {
                delimit_by_close(&mut response);
            }
            return Ok(response);
        }
    }
    if !head.status.is_server_error() {
        slot.set_verdict(AttemptVerdict::Succeeded);
    }
    record_response(context, request, slot.server_id(), framing, head.status, buffered.len());
    let mut response = Response::new(if framing.marks_end() {
        buffered.boxed_unsync()
    } else {
        body_of_unknown_length(buffered)
    });
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    if !framing.marks_end() {
        delimit_by_close(&mut response);
    } else if head.status.is_success() {
        record_answer(context, request, slot.sent_ago());
    }
    Ok(response)
}

/// Forwards a long response body while it arrives, no faster than the caller reads it.
async fn forward_long_body(
    buffered: BufferedBody,
    data: Bytes,
    mut body: ServerBody,
    sender: BodySender,
    mut slot: ServerSlot,
) {
    let (share, segments) = buffered.into_parts();
    for segment in segments {
        if !sender.send(segment).await {
            return;
        }
    }
    let mut data = data;
    // A copy, as a piece keeps the whole buffer that it was read into.
    while sender.send(share.hold(Bytes::copy_from_slice(&data)).await).await {
        data = loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    // A server that sends to one request is not silent for the others.
                    slot.record_bytes();
                    if let Ok(data) = frame.into_data() {
                        break data;
                    }
                }
                Some(Err(error)) => {
                    log::info!(error:% = error; "connection lost during a long response");
                    return;
                }
                None => return sender.finish(),
            }
        };
    }
}

/// Counts and logs a response that was forwarded completely.
pub fn record_response(
    context: &GatewayContext,
    request: &RequestContext,
    server_id: &str,
    framing: ResponseFraming,
    status: StatusCode,
    size: usize,
) {
    let took = context.now().saturating_sub(request.arrived_at);
    metrics::counter!("sassafrashoist_answers_total", "status" => status.as_u16().to_string())
        .increment(1);
    metrics::counter!("sassafrashoist_server_responses_total", "framing" => framing.as_str())
        .increment(1);
    metrics::histogram!("sassafrashoist_request_seconds").record(took.as_secs_f64());
    log::info!(
        id = request.id(), server = server_id, framing = framing.as_str(),
        status = status.as_u16(), size = size,
        took_ms = took.as_millis() as u64;
        "request answered"
    );
}
