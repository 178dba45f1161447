//! Sends a request to backend servers until it has an answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sassafrashoist_adapter::response_headers::encode_response;
use sassafrashoist_core::gateway::server_directory::ServerChoice;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;

use super::answer_body::{AnswerBody, BodySender, answer, streamed_body};
use super::gateway_context::GatewayContext;
use super::pass_events::{pass_events, read_first_event};
use super::request_life::RequestLife;
use super::send_attempt::{AttemptStart, BegunAnswer, send_attempt};
use super::serve_request::Refusal;
use super::token_reservation::TokenReservation;

/// The most servers that are tried, those that did not run the request included.
pub const MAX_SENDS: u32 = 4;
/// The least time that is worth an attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);
/// When a caller may come back if no server took its request.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The least silence after which a server is given up for a request that may run again.
const MIN_PATIENCE: Duration = Duration::from_millis(300);
/// Answers up to this length are passed on whole, so that a broken one can be asked for again.
const MAX_HELD_BYTES: usize = 262_144;
/// Parts of a long answer that wait for the caller.
const BODY_CAPACITY: usize = 4;

/// What attempts have done so far.
#[derive(Debug, Default, Clone, Copy)]
pub struct AttemptCounts {
    /// Servers that were tried.
    pub sent: u32,
    /// Servers that a request reached.
    pub arrived: u32,
    /// Servers that may have run it.
    pub run: u32,
}

impl AttemptCounts {
    /// Counts a server that the request reached and that may have run it.
    fn record_run(&mut self) {
        self.arrived += 1;
        self.run += 1;
    }

    /// Returns whether the request may run on one more server.
    pub fn allows_run(&self, life: &RequestLife) -> bool {
        self.run == 0
            || (life.route.repeatability.may_run_again() && self.run < life.route.max_attempts)
    }

    /// Returns whether a server that is given up could be replaced by another.
    pub fn allows_another_run(&self, life: &RequestLife) -> bool {
        life.route.repeatability.may_run_again() && self.run + 1 < life.route.max_attempts
    }
}

/// Sends a request to backend servers until it has an answer.
pub async fn run_attempts(
    context: Arc<GatewayContext>,
    life: Arc<RequestLife>,
    mut reservation: Option<TokenReservation>,
) -> Response<AnswerBody> {
    let mut need = life.server_need();
    let mut counts = AttemptCounts::default();
    let mut failure = "no server";
    while counts.sent < MAX_SENDS && counts.allows_run(&life) {
        if life.time_left(context.now()) < MIN_TIME_LEFT {
            failure = "deadline reached";
            break;
        }
        if counts.arrived > 0 && !context.try_repeat(&life.pool_id) {
            log::info!(id = life.id(), pool = life.pool_id; "no repeated send is left");
            break;
        }
        let now = context.now();
        let chosen = context.lock_servers().choose(&need, rand::random(), now);
        let Some(chosen) = chosen else {
            break;
        };
        log_choice(&life, &chosen, counts);
        need.excluded.push(chosen.listing.id.clone());
        counts.sent += 1;
        let patience = counts.allows_another_run(&life).then(|| first_patience(&life, &chosen));
        let event_id = life.caller.last_event_id.clone();
        let begun = match send_attempt(&context, &life, chosen, event_id, patience).await {
            AttemptStart::Answered(begun) => begun,
            AttemptStart::Failed(begun) => {
                counts.record_run();
                mark_run(&mut reservation);
                if counts.allows_run(&life) {
                    failure = "server failed";
                    continue;
                }
                begun
            }
            AttemptStart::NotReached => {
                failure = "server not reached";
                continue;
            }
            AttemptStart::NotRun(reason) => {
                failure = reason;
                counts.arrived += 1;
                continue;
            }
            AttemptStart::Lost(reason) => {
                failure = reason;
                counts.record_run();
                mark_run(&mut reservation);
                continue;
            }
        };
        counts.record_run();
        let is_stream =
            life.route.repeatability.is_stream() && begun.response.status().is_success();
        if is_stream {
            let first = read_first_event(&context, &life, begun, patience).await;
            mark_run(&mut reservation);
            match first {
                Ok(first) => return pass_events(context, life, reservation, counts, first),
                Err(reason) => failure = reason,
            }
        } else {
            mark_run(&mut reservation);
            match pass_plain(&context, &life, begun).await {
                Ok(response) => return response,
                Err(reason) => failure = reason,
            }
        }
    }
    end_unserved(&context, &life, counts, failure)
}

fn mark_run(reservation: &mut Option<TokenReservation>) {
    if let Some(reservation) = reservation {
        reservation.mark_may_have_run();
    }
}

fn end_unserved(
    context: &GatewayContext,
    life: &RequestLife,
    counts: AttemptCounts,
    failure: &'static str,
) -> Response<AnswerBody> {
    let refusal = if counts.run == 0 {
        Refusal::not_now(FULL_RETRY_AFTER, failure)
    } else if life.time_left(context.now()) < MIN_TIME_LEFT {
        Refusal::new(StatusCode::GATEWAY_TIMEOUT, failure)
    } else {
        Refusal::new(StatusCode::BAD_GATEWAY, failure)
    };
    let detail = format!(
        "pool {}, {} sent, {} arrived, {} may have run",
        life.pool_id, counts.sent, counts.arrived, counts.run
    );
    refusal.into_response(life.id(), &detail)
}

/// Returns the silence after which a server is given up before the answer has begun.
pub fn first_patience(life: &RequestLife, chosen: &ServerChoice) -> Duration {
    let expected = Duration::from_secs_f64(chosen.cost_ms.max(0.0) / 1_000.0);
    life.route.target_latency.max(MIN_PATIENCE + 2 * expected)
}

fn log_choice(life: &RequestLife, chosen: &ServerChoice, counts: AttemptCounts) {
    log::info!(
        id = life.id(), route = life.route.id, pool = life.pool_id,
        account = life.account_id.as_deref().unwrap_or("-"),
        server = chosen.listing.id, expected_ms = chosen.cost_ms as u64,
        read_tokens = chosen.prefill_tokens, attempt = counts.sent + 1;
        "request sent"
    );
}

/// Passes an answer without events on; fails when it breaks off before any of it was passed on.
async fn pass_plain(
    context: &Arc<GatewayContext>,
    life: &Arc<RequestLife>,
    begun: BegunAnswer,
) -> Result<Response<AnswerBody>, &'static str> {
    let BegunAnswer { response, connection, mut place } = begun;
    place.record_bytes();
    let (head, mut body) = response.into_parts();
    let headers = encode_response(&head.headers);
    let deadline = context.instant(life.deadline);
    let mut held = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(error))) => {
                log::info!(id = life.id(), server = place.server_id(), error:% = error; "answer broken off");
                place.set_verdict(AttemptVerdict::Failed);
                return Err("answer broken off");
            }
            Err(_) => return Err("answer not whole before the deadline"),
        };
        if let Some(data) = frame.data_ref() {
            place.record_bytes();
            held.extend_from_slice(data);
        }
        if held.len() > MAX_HELD_BYTES {
            let (sender, answer_body) = streamed_body(BODY_CAPACITY);
            let held_until_end = (connection, place, context.requests.token());
            tokio::spawn(async move {
                let pass = pass_long(held.freeze(), body, sender);
                if tokio::time::timeout_at(deadline, pass).await.is_err() {
                    log::info!("long answer cut at the deadline");
                }
                drop(held_until_end);
            });
            let mut response = Response::new(answer_body);
            *response.status_mut() = head.status;
            *response.headers_mut() = headers;
            return Ok(response);
        }
    }
    if !head.status.is_server_error() {
        place.set_verdict(AttemptVerdict::Succeeded);
    }
    log_end(context, life, place.server_id(), head.status, held.len());
    Ok(answer(head.status, headers, Bytes::from(held)))
}

/// Passes a long answer on while it arrives.
async fn pass_long(held: Bytes, mut body: Incoming, sender: BodySender) {
    let mut is_open = sender.send(held).await;
    while is_open {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    is_open = sender.send(data).await;
                }
            }
            Some(Err(error)) => {
                log::info!(error:% = error; "long answer broken off");
                return;
            }
            None => return sender.finish(),
        }
    }
}

/// Writes down that an answer was passed on whole.
pub fn log_end(
    context: &GatewayContext,
    life: &RequestLife,
    server_id: &str,
    status: StatusCode,
    size: usize,
) {
    let took = context.now().saturating_sub(life.arrived_at);
    metrics::counter!("sassafrashoist_answers_total", "status" => status.as_u16().to_string())
        .increment(1);
    metrics::histogram!("sassafrashoist_request_seconds").record(took.as_secs_f64());
    log::info!(
        id = life.id(), server = server_id, status = status.as_u16(), size = size,
        took_ms = took.as_millis() as u64;
        "request answered"
    );
}
