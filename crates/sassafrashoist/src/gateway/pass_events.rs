//! Passes the events of a stream on as they arrive.
//!
//! Only whole events are passed on. When a server breaks off a stream that may be resumed, another
//! one goes on after the last event that was passed on, within the same answer.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sassafrashoist_adapter::response_headers::encode_response;
use sassafrashoist_core::event_splitter::{EventSplitter, StreamEvent};
use sassafrashoist_core::ids::BackendServerId;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::answer_body::{AnswerBody, BodySender, streamed_body};
use super::gateway_context::GatewayContext;
use super::request_life::RequestLife;
use super::run_attempts::{AttemptCounts, MAX_SENDS, first_patience, log_end};
use super::send_attempt::{AttemptStart, BegunAnswer, send_attempt, wait_for_silence};
use super::token_reservation::TokenReservation;

/// Events that wait for a slow caller.
const EVENT_CAPACITY: usize = 16;
/// Silence of a server, towards all requests, after which a stream that may be resumed leaves it.
const STREAM_PATIENCE: Duration = Duration::from_millis(900);

/// A stream whose first event came.
#[derive(Debug)]
pub struct FirstEvent {
    /// The answer.
    pub begun: BegunAnswer,
    /// What was read of it.
    pub splitter: EventSplitter,
    /// Whether nothing more follows.
    pub is_whole: bool,
}

/// Reads a stream up to its first whole event.
///
/// # Errors
///
/// Fails with a reason when it breaks off before; nothing was passed on.
pub async fn read_first_event(
    context: &GatewayContext,
    life: &RequestLife,
    mut begun: BegunAnswer,
    patience: Option<Duration>,
) -> Result<FirstEvent, &'static str> {
    let mut splitter = EventSplitter::default();
    loop {
        let frame = tokio::select! {
            frame = begun.response.body_mut().frame() => frame,
            () = tokio::time::sleep_until(context.instant(life.deadline)) => {
                return Err("no event before the deadline");
            }
            () = wait_for_silence(context, &begun.place, patience) => {
                begun.place.set_verdict(AttemptVerdict::Failed);
                return Err("server is silent");
            }
        };
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    begun.place.record_bytes();
                    splitter.push(data);
                    if splitter.has_event() {
                        return Ok(FirstEvent { begun, splitter, is_whole: false });
                    }
                }
            }
            None => return Ok(FirstEvent { begun, splitter, is_whole: true }),
            Some(Err(error)) => {
                log::info!(
                    id = life.id(), server = begun.place.server_id(), error:% = error;
                    "stream broken off before its first event"
                );
                begun.place.set_verdict(AttemptVerdict::Failed);
                return Err("stream broken off");
            }
        }
    }
}

/// Passes a stream on in a task of its own and returns the answer that it fills.
pub fn pass_events(
    context: Arc<GatewayContext>,
    life: Arc<RequestLife>,
    reservation: Option<TokenReservation>,
    counts: AttemptCounts,
    first: FirstEvent,
) -> Response<AnswerBody> {
    let FirstEvent { begun, splitter, is_whole } = first;
    let (sender, body) = streamed_body(EVENT_CAPACITY);
    let mut response = Response::new(body);
    *response.status_mut() = begun.response.status();
    *response.headers_mut() = encode_response(begun.response.headers());
    let pass = EventPass {
        in_progress: context.requests.token(),
        context,
        life,
        reservation,
        counts,
        splitter,
        sender,
        last_event_id: None,
        passed_bytes: 0,
    };
    tokio::spawn(pass.run(begun, is_whole));
    response
}

/// How one server's part of a stream ended.
enum PartEnd {
    /// The stream is whole.
    Whole,
    /// The server broke it off or is silent.
    Broken(&'static str),
    /// The caller is gone.
    CallerGone,
    /// The deadline was reached.
    Late,
}

struct EventPass {
    in_progress: TaskTrackerToken,
    context: Arc<GatewayContext>,
    life: Arc<RequestLife>,
    reservation: Option<TokenReservation>,
    counts: AttemptCounts,
    splitter: EventSplitter,
    sender: BodySender,
    last_event_id: Option<String>,
    passed_bytes: usize,
}

impl EventPass {
    async fn run(mut self, mut begun: BegunAnswer, is_whole: bool) {
        let mut end =
            if is_whole { self.pass_rest().await } else { self.pass_part(&mut begun).await };
        while let PartEnd::Broken(reason) = end {
            begun.place.set_verdict(AttemptVerdict::Failed);
            log::info!(
                id = self.life.id(), server = begun.place.server_id(), reason = reason,
                last_event = self.last_event_id.as_deref().unwrap_or("-");
                "stream broken off"
            );
            let broken_server_id = begun.place.server_id().to_owned();
            drop(begun);
            let Some(next) = self.resume(broken_server_id).await else {
                metrics::counter!("sassafrashoist_streams_broken_total").increment(1);
                return;
            };
            begun = next;
            self.splitter = EventSplitter::default();
            end = self.pass_part(&mut begun).await;
        }
        match end {
            PartEnd::Whole => {
                begun.place.set_verdict(AttemptVerdict::Succeeded);
                let status = begun.response.status();
                log_end(
                    &self.context,
                    &self.life,
                    begun.place.server_id(),
                    status,
                    self.passed_bytes,
                );
                self.sender.finish();
            }
            PartEnd::CallerGone => log::info!(id = self.life.id(); "caller left its stream"),
            PartEnd::Late => {
                log::info!(id = self.life.id(); "stream cut at the deadline");
            }
            PartEnd::Broken(_) => {}
        }
        drop(self.in_progress);
    }

    async fn pass_part(&mut self, begun: &mut BegunAnswer) -> PartEnd {
        let patience = self.counts.allows_another_run(&self.life).then_some(STREAM_PATIENCE);
        loop {
            while let Some(event) = self.splitter.next_event() {
                if let Some(end) = self.pass_event(event).await {
                    return end;
                }
            }
            let BegunAnswer { response, place, .. } = begun;
            let body: &mut Incoming = response.body_mut();
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return PartEnd::CallerGone,
                () = tokio::time::sleep_until(self.context.instant(self.life.deadline)) => {
                    return PartEnd::Late;
                }
                () = wait_for_silence(&self.context, place, patience) => {
                    return PartEnd::Broken("server is silent");
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    place.record_bytes();
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(_)) => return PartEnd::Broken("connection lost"),
                None => return self.pass_rest().await,
            }
        }
    }

    /// Passes on what follows the last whole event at the end of a whole stream.
    async fn pass_rest(&mut self) -> PartEnd {
        while let Some(event) = self.splitter.next_event() {
            if let Some(end) = self.pass_event(event).await {
                return end;
            }
        }
        let rest = self.splitter.take_rest();
        if rest.is_empty() {
            return PartEnd::Whole;
        }
        let event = StreamEvent { raw: rest, id: None };
        self.pass_event(event).await.unwrap_or(PartEnd::Whole)
    }

    async fn pass_event(&mut self, event: StreamEvent) -> Option<PartEnd> {
        if self.is_repeated(&event) {
            return None;
        }
        if event.id.is_some() {
            if let (Some(reservation), Some(tokens)) =
                (&mut self.reservation, self.life.tokens_per_event)
            {
                reservation.add_output_tokens(tokens);
            }
            self.last_event_id.clone_from(&event.id);
        }
        self.passed_bytes += event.raw.len();
        let deadline = self.context.instant(self.life.deadline);
        match tokio::time::timeout_at(deadline, self.sender.send(event.raw)).await {
            Ok(true) => None,
            Ok(false) => Some(PartEnd::CallerGone),
            Err(_) => Some(PartEnd::Late),
        }
    }

    /// Returns whether an event was passed on before; ids of one stream grow.
    fn is_repeated(&self, event: &StreamEvent) -> bool {
        let number = |id: &Option<String>| id.as_deref().and_then(|id| id.parse::<u64>().ok());
        match (number(&event.id), number(&self.last_event_id)) {
            (Some(id), Some(last)) => id <= last,
            _ => false,
        }
    }

    /// Sends the request to another server to go on after the last event.
    async fn resume(&mut self, broken_server_id: BackendServerId) -> Option<BegunAnswer> {
        let mut need = self.life.server_need();
        need.excluded.push(broken_server_id);
        while self.counts.sent < MAX_SENDS
            && self.counts.allows_run(&self.life)
            && self.context.try_repeat(&self.life.pool_id)
        {
            let now = self.context.now();
            let chosen = self.context.lock_servers().choose(&need, rand::random(), now)?;
            need.excluded.push(chosen.listing.id.clone());
            self.counts.sent += 1;
            log::info!(
                id = self.life.id(), server = chosen.listing.id,
                last_event = self.last_event_id.as_deref().unwrap_or("-");
                "stream resumed"
            );
            let patience = self
                .counts
                .allows_another_run(&self.life)
                .then(|| first_patience(&self.life, &chosen));
            let event_id =
                self.last_event_id.clone().or_else(|| self.life.caller.last_event_id.clone());
            let start = tokio::select! {
                start = send_attempt(&self.context, &self.life, chosen, event_id, patience) => start,
                () = self.sender.closed() => return None,
            };
            match start {
                AttemptStart::Answered(begun) if begun.response.status().is_success() => {
                    self.counts.run += 1;
                    return Some(begun);
                }
                AttemptStart::Answered(_) | AttemptStart::Failed(_) | AttemptStart::Lost(_) => {
                    self.counts.run += 1;
                }
                AttemptStart::NotReached | AttemptStart::NotRun(_) => {}
            }
        }
        None
    }
}
