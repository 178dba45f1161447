//! Forwards the events of a stream to the caller as they arrive.
//!
//! Only complete events are forwarded. When a server fails during a stream that may be resumed,
//! another server continues after the last forwarded event, within the same response, if its head
//! and its events go on with the stream. A stream that ends inside an event has failed, whatever its
//! framing.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use sassafrashoist_adapter::response_headers::{encode_response, goes_on_with};
use sassafrashoist_core::event_splitter::StreamEvent;
use sassafrashoist_core::gateway::attempt_failure::AttemptFailure;
use sassafrashoist_core::gateway::caller_departure::LastSign;
use sassafrashoist_core::gateway::event_allowance::EventAllowance;
use sassafrashoist_core::gateway::event_sequence::{EventCheck, EventSequence, is_comment};
use sassafrashoist_core::gateway::memory_budget::HolderKind;
use sassafrashoist_core::gateway::stream_origins::StreamOrigin;
use sassafrashoist_core::ids::BackendServerId;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;
use sassafrashoist_platform::response_framing::ResponseFraming;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::choose_server::choose_server;
use super::confirm_incarnation::confirm_incarnation;
use super::gateway_context::GatewayContext;
use super::held_splitter::HeldSplitter;
use super::isolate_suspects::admit_attempt;
use super::memory_share::MemoryShare;
use super::report_server_end::report_lost_connection;
use super::request_context::{RequestContext, ResumedStream};
use super::response_body::{ResponseBody, streamed_body};
use super::run_attempts::{
    AttemptCounts, MAX_SERVERS_TRIED, initial_unresponsive_timeout, record_response,
};
use super::send_attempt::{
    AttemptStart, StartedResponse, record_departure, send_attempt, wait_after_caller,
    wait_until_unresponsive,
};
use super::server_body::ServerBody;
use super::share_crashes::{record_answer, record_going_on};
use super::share_stream_origin::record_origin;
use super::silence_limit::SilenceLimit;
use super::stream_in_progress::StreamInProgress;
use super::token_reservation::TokenReservation;
use crate::util::http_response::delimit_by_close;
use crate::util::streamed_body::BodySender;

/// The maximum number of events that are buffered for a slow caller.
const EVENT_BUFFER_CAPACITY: usize = 16;
/// How long a server may send nothing to any request before a stream that may be resumed continues
/// at another server: longer than the second for which sound servers may fall silent, shorter than
/// the two seconds after which callers give up.
const STREAM_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a segment of a stream has to go on, and the time between two reports of that.
const GOING_ON_INTERVAL: Duration = Duration::from_secs(1);

/// The reason of a failed attempt whose stream ended inside an event.
const ENDED_INSIDE_EVENT: &str = "stream ended inside an event";

/// The reason of a failed attempt whose stream has an event without end.
const EVENT_TOO_LONG: &str = "event too long";

/// The reason of a failed attempt whose stream has a long event for which there is no memory.
const EVENT_EXCEEDS_MEMORY: &str = "event exceeds the memory that is left";

/// The reason of a failed attempt whose stream has comments or earlier events without end.
const NO_NEW_EVENT: &str = "stream without a new event";

/// The reason of a failed attempt whose stream has no framing and was closed before any event.
const CLOSED_BEFORE_EVENT: &str = "stream closed before its first event";

/// A stream whose first event has arrived, or which has ended.
#[derive(Debug)]
pub struct StartedStream {
    /// The response.
    pub started: StartedResponse,
    /// The bytes that were read so far.
    pub splitter: HeldSplitter,
    /// Whether the body has ended.
    pub has_ended: bool,
}

/// Why a stream has no first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoFirstEvent {
    /// The server is silent; the retry is already counted.
    ServerSilent,
    /// The caller left, and no server has begun to run the request.
    CallerLeft,
    /// It failed for this reason.
    Failed(&'static str),
}

/// Reads a stream up to its first complete event.
///
/// # Errors
///
/// Fails with the reason if the stream is cut off before its first event is complete; nothing has
/// been forwarded then.
pub async fn read_first_event(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    mut started: StartedResponse,
    silence_limit: Option<&SilenceLimit>,
) -> Result<StartedStream, NoFirstEvent> {
    let mut splitter = HeldSplitter::new(context);
    let write_end = started.connection.write_end();
    let mut has_data = false;
    loop {
        let frame = tokio::select! {
            frame = started.response.body_mut().frame() => frame,
            () = request.caller_left.cancelled() => {
                let body = started.response.body_mut();
                let sign = match wait_after_caller(&write_end, body.frame()).await {
                    _ if has_data => LastSign::Body,
                    Some(Some(Ok(_))) => LastSign::Body,
                    Some(Some(Err(error))) => LastSign::of_failure(error.failure()),
                    Some(None) => LastSign::ProperEnd,
                    None => LastSign::Nothing { is_path_lost: started.slot.is_path_lost() },
                };
                return Err(match record_departure(request, &started.slot, sign) {
                    true => NoFirstEvent::Failed("caller left"),
                    false => NoFirstEvent::CallerLeft,
                });
            }
            () = tokio::time::sleep_until(context.instant(request.deadline)) => {
                return Err(NoFirstEvent::Failed("no event before the deadline"));
            }
            () = wait_until_unresponsive(context, request, &started.slot, silence_limit) => {
                started.slot.set_failed(AttemptFailure::Lost);
                return Err(NoFirstEvent::ServerSilent);
            }
        };
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    has_data = true;
                    started.slot.record_bytes();
                    if !splitter.try_push(data) {
                        let failure = (EVENT_EXCEEDS_MEMORY, AttemptFailure::Lost);
                        return Err(record_no_event(request, &mut started, failure, &"-"));
                    }
                    if splitter.has_event() {
                        return Ok(StartedStream { started, splitter, has_ended: false });
                    }
                    if splitter.is_too_long() {
                        let failure = (EVENT_TOO_LONG, AttemptFailure::Invalid);
                        return Err(record_no_event(request, &mut started, failure, &"-"));
                    }
                }
            }
            None if splitter.is_inside_event() => {
                report_lost_connection(context, request, &started.slot).await;
                let failure = (ENDED_INSIDE_EVENT, early_end(started.framing));
                return Err(record_no_event(request, &mut started, failure, &"-"));
            }
            // A stream that its caller resumes may have no event left, but one that may run again is
            // rather sent to another server.
            None if !started.framing.marks_end()
                && (request.caller.last_event_id.is_none() || request.is_resumption()) =>
            {
                report_lost_connection(context, request, &started.slot).await;
                let failure = (CLOSED_BEFORE_EVENT, early_end(started.framing));
                return Err(record_no_event(request, &mut started, failure, &"-"));
            }
            None => return Ok(StartedStream { started, splitter, has_ended: true }),
            Some(Err(error)) => {
                report_lost_connection(context, request, &started.slot).await;
                let failure = ("stream broken off", error.failure());
                return Err(record_no_event(request, &mut started, failure, &error));
            }
        }
    }
}

fn early_end(framing: ResponseFraming) -> AttemptFailure {
    AttemptFailure::of_early_end(framing.marks_end())
}

/// Logs and records that a server broke a stream off before its first event; returns the reason.
fn record_no_event(
    request: &RequestContext,
    started: &mut StartedResponse,
    (reason, failure): (&'static str, AttemptFailure),
    error: &dyn fmt::Display,
) -> NoFirstEvent {
    log::info!(
        id = request.id(), server = started.slot.server_id(),
        framing = started.framing.as_str(), reason = reason, error:% = error;
        "stream broken off before its first event"
    );
    started.slot.set_failed(failure);
    NoFirstEvent::Failed(reason)
}

/// Forwards a stream in a separate task and returns the response that the task writes to.
pub fn forward_events(
    context: Arc<GatewayContext>,
    request: Arc<RequestContext>,
    reservation: Option<TokenReservation>,
    counts: AttemptCounts,
    first: StartedStream,
) -> Response<ResponseBody> {
    let StartedStream { started, splitter, has_ended } = first;
    let (sender, body) = streamed_body(EVENT_BUFFER_CAPACITY);
    let mut response = Response::new(body);
    *response.status_mut() = started.response.status();
    *response.headers_mut() = encode_response(started.response.headers());
    // Another server may continue the stream with another length.
    response.headers_mut().remove(CONTENT_LENGTH);
    if !started.framing.marks_end() {
        delimit_by_close(&mut response);
    }
    let origin = record_origin(&context, &request, started.slot.listing());
    let in_outbox =
        origin.as_ref().and_then(|stream| StreamInProgress::begin(&context, &request, stream));
    let resumed_after = request.is_resumption().then(|| request.caller.last_event_id.clone());
    let first_head = (started.response.status(), started.response.headers().clone());
    let forwarder = EventForwarder {
        in_progress: context.requests.token(),
        unread: MemoryShare::new(&context, HolderKind::Response),
        context,
        request,
        reservation,
        counts,
        splitter,
        sender,
        caller_framing: started.framing,
        sequence: EventSequence::new(resumed_after.flatten()),
        allowance: EventAllowance::default(),
        first_head,
        origin,
        in_outbox,
        forwarded_bytes: 0,
    };
    tokio::spawn(forwarder.run(started, has_ended));
    response
}

/// How a segment of a stream ended; a segment is the part that one server sends.
enum SegmentEnd {
    /// The body ended after an event.
    Ended,
    /// The connection ended before the stream did.
    ConnectionLost(&'static str, AttemptFailure),
    /// The server violates the format.
    Failed(&'static str),
    /// There is no memory for an event.
    ExceedsMemory,
    /// The server is silent; the retry is already counted.
    ServerSilent,
    /// The caller disconnected.
    CallerDisconnected,
    /// The deadline passed.
    DeadlineExceeded,
}

impl SegmentEnd {
    /// Returns the reason for which another server has to continue the stream, and how this one failed.
    fn failure(&self) -> Option<(&'static str, AttemptFailure)> {
        match self {
            Self::Failed(reason) => Some((reason, AttemptFailure::Invalid)),
            Self::ConnectionLost(reason, failure) => Some((reason, *failure)),
            Self::ExceedsMemory => Some((EVENT_EXCEEDS_MEMORY, AttemptFailure::Lost)),
            Self::ServerSilent => Some(("server is silent", AttemptFailure::Lost)),
            Self::Ended | Self::CallerDisconnected | Self::DeadlineExceeded => None,
        }
    }
}

struct EventForwarder {
    in_progress: TaskTrackerToken,
    context: Arc<GatewayContext>,
    request: Arc<RequestContext>,
    reservation: Option<TokenReservation>,
    counts: AttemptCounts,
    splitter: HeldSplitter,
    /// The memory of the events that the caller has not read yet.
    unread: Arc<MemoryShare>,
    sender: BodySender,
    caller_framing: ResponseFraming,
    sequence: EventSequence,
    allowance: EventAllowance,
    /// The status and headers of the server that began the stream.
    first_head: (StatusCode, HeaderMap),
    /// Where the stream began; `None` if its software version is not certain.
    origin: Option<ResumedStream>,
    /// Makes the origin go to the log; `None` if the stream cannot be resumed.
    in_outbox: Option<StreamInProgress>,
    forwarded_bytes: usize,
}

impl EventForwarder {
    /// Forwards the stream to its end, from other servers if the first one fails.
    async fn run(mut self, mut started: StartedResponse, has_ended: bool) {
        let mut end = if has_ended {
            self.forward_remainder(started.framing).await
        } else {
            self.forward_segment(&mut started).await
        };
        while let Some((reason, failure)) = end.failure() {
            log::info!(
                id = self.request.id(), server = started.slot.server_id(), reason = reason,
                framing = started.framing.as_str(),
                last_event = self.sequence.last_id().unwrap_or("-");
                "stream broken off"
            );
            if matches!(end, SegmentEnd::ConnectionLost(..)) {
                report_lost_connection(&self.context, &self.request, &started.slot).await;
            }
            started.slot.set_failed(failure);
            let failed_server_id = started.slot.server_id().to_owned();
            drop(started);
            let is_retry_counted = matches!(end, SegmentEnd::ServerSilent);
            let Some(next) = self.resume(failed_server_id, is_retry_counted).await else {
                metrics::counter!("sassafrashoist_streams_broken_total").increment(1);
                return;
            };
            started = next;
            self.splitter = HeldSplitter::new(&self.context);
            self.sequence.begin_segment();
            self.allowance = EventAllowance::default();
            end = self.forward_segment(&mut started).await;
        }
        match end {
            SegmentEnd::Ended => {
                started.slot.set_verdict(AttemptVerdict::Succeeded);
                let status = started.response.status();
                if started.framing.marks_end() {
                    record_answer(&self.context, &self.request, started.slot.sent_ago());
                }
                record_response(
                    &self.context,
                    &self.request,
                    started.slot.server_id(),
                    started.framing,
                    status,
                    self.forwarded_bytes,
                );
                if started.framing.marks_end() || !self.caller_framing.marks_end() {
                    if let Some(stream) = &mut self.in_outbox {
                        stream.mark_complete();
                    }
                    self.sender.finish();
                } else {
                    log::info!(
                        id = self.request.id(), server = started.slot.server_id();
                        "stream may be incomplete; response aborted after its last event"
                    );
                    metrics::counter!("sassafrashoist_streams_broken_total").increment(1);
                }
            }
            SegmentEnd::CallerDisconnected => {
                log::info!(id = self.request.id(); "caller left its stream")
            }
            SegmentEnd::DeadlineExceeded => {
                log::info!(id = self.request.id(); "stream cut at the deadline");
            }
            SegmentEnd::Failed(_)
            | SegmentEnd::ExceedsMemory
            | SegmentEnd::ServerSilent
            | SegmentEnd::ConnectionLost(..) => {}
        }
        drop(self.in_progress);
    }

    /// Returns when the stream leaves a silent server; `None` if no other server may continue it.
    fn silence_limit(&self, server_id: &str) -> Option<SilenceLimit> {
        let ResumedStream { origin, began_at } = self.origin.as_ref()?;
        let may_resume = self.counts.sent < MAX_SERVERS_TRIED
            && self.counts.allows_run(&self.request)
            && !self.context.lock_servers().is_origin_doubtful(origin, *began_at);
        may_resume.then(|| {
            let mut requirements = self.request.server_requirements();
            requirements.software_version = Some(origin.software_version.clone());
            requirements.excluded.push(server_id.to_owned());
            SilenceLimit { timeout: STREAM_UNRESPONSIVE_TIMEOUT, requirements }
        })
    }

    /// Forwards the events that one server sends until the segment ends.
    async fn forward_segment(&mut self, started: &mut StartedResponse) -> SegmentEnd {
        let silence_limit = self.silence_limit(started.slot.server_id());
        let earlier_bytes = self.forwarded_bytes;
        let mut reported_at = self.context.now();
        loop {
            while let Some(event) = self.splitter.next_event() {
                if let Some(end) = self.forward_event(event).await {
                    return end;
                }
            }
            if self.splitter.is_too_long() {
                return SegmentEnd::Failed(EVENT_TOO_LONG);
            }
            let StartedResponse { response, slot, .. } = started;
            let body: &mut ServerBody = response.body_mut();
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return SegmentEnd::CallerDisconnected,
                () = tokio::time::sleep_until(self.context.instant(self.request.deadline)) => {
                    return SegmentEnd::DeadlineExceeded;
                }
                () = wait_until_unresponsive(
                    &self.context, &self.request, slot, silence_limit.as_ref(),
                ) => {
                    return SegmentEnd::ServerSilent;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    slot.record_bytes();
                    if frame.data_ref().is_some_and(|data| !self.splitter.try_push(data)) {
                        return SegmentEnd::ExceedsMemory;
                    }
                    let now = self.context.now();
                    if now >= reported_at + GOING_ON_INTERVAL {
                        reported_at = now;
                        record_going_on(&self.context, &self.request);
                    }
                }
                Some(Err(error)) => {
                    return SegmentEnd::ConnectionLost("connection lost", error.failure());
                }
                // A continuation without any event does not show that the stream is complete.
                None if self.forwarded_bytes == earlier_bytes
                    && !self.splitter.is_inside_event() =>
                {
                    let failure = early_end(started.framing);
                    return SegmentEnd::ConnectionLost(CLOSED_BEFORE_EVENT, failure);
                }
                None => return self.forward_remainder(started.framing).await,
            }
        }
    }

    /// Forwards what is left in the splitter at the end of a body.
    async fn forward_remainder(&mut self, framing: ResponseFraming) -> SegmentEnd {
        while let Some(event) = self.splitter.next_event() {
            if let Some(end) = self.forward_event(event).await {
                return end;
            }
        }
        let is_inside_event = self.splitter.is_inside_event();
        let rest = self.splitter.take_rest();
        if is_inside_event {
            log::info!(
                id = self.request.id(), framing = framing.as_str(), bytes = rest.len();
                "stream ended inside an event"
            );
            return SegmentEnd::ConnectionLost(ENDED_INSIDE_EVENT, early_end(framing));
        }
        if rest.is_empty() {
            return SegmentEnd::Ended;
        }
        let event = StreamEvent { raw: rest, id: None };
        self.forward_event(event).await.unwrap_or(SegmentEnd::Ended)
    }

    /// Forwards an event unless it is a duplicate or does not belong to the stream; returns how the
    /// segment ended if that ends it.
    async fn forward_event(&mut self, event: StreamEvent) -> Option<SegmentEnd> {
        let check = self.sequence.check(&event);
        if let EventCheck::Foreign(reason) = check {
            return Some(SegmentEnd::Failed(reason));
        }
        if check == EventCheck::Forward && !is_comment(&event) {
            self.allowance.record_event();
        } else if self.allowance.record_idle(event.raw.len(), self.context.now()) {
            return Some(SegmentEnd::Failed(NO_NEW_EVENT));
        }
        if check == EventCheck::Duplicate {
            return None;
        }
        let has_id = event.id.is_some();
        self.forwarded_bytes += event.raw.len();
        let deadline = self.context.instant(self.request.deadline);
        let sending = async { self.sender.send(self.unread.hold(event.raw).await).await };
        match tokio::time::timeout_at(deadline, sending).await {
            Ok(true) => {}
            Ok(false) => return Some(SegmentEnd::CallerDisconnected),
            Err(_) => return Some(SegmentEnd::DeadlineExceeded),
        }
        if has_id
            && let (Some(reservation), Some(tokens)) =
                (&mut self.reservation, self.request.tokens_per_event)
        {
            reservation.add_output_tokens(tokens);
        }
        None
    }

    /// Returns whether the head of a response goes on with that of the stream.
    fn is_continued_by(&self, started: &StartedResponse) -> bool {
        let (status, headers) = &self.first_head;
        let response = &started.response;
        goes_on_with((*status, headers), (response.status(), response.headers()))
    }

    /// Returns whether the stream began at the incarnation of its server that this VM has listed. The
    /// origin of a stream that a caller resumes comes from the VMs that keep it.
    async fn is_origin_confirmed(&self, origin: &StreamOrigin) -> bool {
        let listing = self.context.lock_servers().origin_listing(origin).cloned();
        match listing {
            Some(listing) => confirm_incarnation(&self.context, &listing).await,
            None => true,
        }
    }

    /// Sends the request to another server, which continues after the last forwarded event.
    ///
    /// `is_retry_counted` says whether the first attempt is already counted as a retry.
    async fn resume(
        &mut self,
        failed_server_id: BackendServerId,
        mut is_retry_counted: bool,
    ) -> Option<StartedResponse> {
        let ResumedStream { origin, began_at } = self.origin.clone()?;
        if self.context.lock_servers().is_origin_doubtful(&origin, began_at) {
            return None;
        }
        if self.request.resumed.is_none() && !self.is_origin_confirmed(&origin).await {
            log::info!(
                id = self.request.id(), server = origin.server_id;
                "stream not resumed: the server that began it may have started again before"
            );
            return None;
        }
        let mut requirements = self.request.server_requirements();
        requirements.software_version = Some(origin.software_version);
        requirements.excluded.push(failed_server_id.clone());
        let mut last_server_id = failed_server_id;
        while self.counts.sent < MAX_SERVERS_TRIED
            && self.counts.allows_run(&self.request)
            && (std::mem::take(&mut is_retry_counted)
                || self.context.try_retry(&self.request.pool_id))
        {
            let admitted = tokio::select! {
                admitted =
                    admit_attempt(&self.context, &self.request, Some(&last_server_id)) => admitted,
                () = self.sender.closed() => return None,
            };
            let trial = match admitted {
                Ok(trial) => trial,
                Err(refusal) => {
                    log::info!(id = self.request.id(), reason = refusal.reason(); "stream not resumed");
                    return None;
                }
            };
            let chosen = tokio::select! {
                chosen = choose_server(&self.context, &self.request, &requirements) => chosen.ok()?,
                () = self.sender.closed() => return None,
            };
            let server_id = chosen.listing.id.clone();
            requirements.excluded.push(server_id.clone());
            self.counts.sent += 1;
            log::info!(
                id = self.request.id(), server = chosen.listing.id,
                version = chosen.listing.software_version,
                last_event = self.sequence.last_id().unwrap_or("-");
                "stream resumed"
            );
            let silence_limit =
                self.counts.allows_another_run(&self.request).then(|| SilenceLimit {
                    timeout: initial_unresponsive_timeout(&self.request, &chosen),
                    requirements: requirements.clone(),
                });
            let last_id = self.sequence.last_id().map(str::to_owned);
            let event_id = last_id.or_else(|| self.request.caller.last_event_id.clone());
            let start = tokio::select! {
                start = send_attempt(
                    &self.context, &self.request, chosen, trial, event_id, silence_limit.as_ref(),
                ) => start,
                () = self.sender.closed() => return None,
            };
            match start {
                AttemptStart::Served(started) if self.is_continued_by(&started) => {
                    self.counts.may_have_run += 1;
                    return Some(started);
                }
                AttemptStart::Served(other) | AttemptStart::Failed(other) => {
                    log::info!(
                        id = self.request.id(), server = server_id,
                        status = other.response.status().as_u16();
                        "response does not go on with the stream"
                    );
                    last_server_id = server_id;
                    self.counts.may_have_run += 1;
                }
                AttemptStart::Lost(_) => {
                    last_server_id = server_id;
                    self.counts.may_have_run += 1;
                }
                AttemptStart::Silent => {
                    last_server_id = server_id;
                    is_retry_counted = true;
                    self.counts.may_have_run += 1;
                }
                AttemptStart::Stopping
                | AttemptStart::DeadlineReached
                | AttemptStart::CallerLeft => return None,
                AttemptStart::NotReached | AttemptStart::Evacuated | AttemptStart::NotRun(_) => {}
            }
        }
        None
    }
}
