//! Sends a request to one backend server.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode, Uri};
use http_body_util::Full;
use sassafrashoist_adapter::request_headers::{AttemptHeaders, encode_attempt};
use sassafrashoist_adapter::response_headers::{ResponseHead, ResponseKind};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::attempt_failure::AttemptFailure;
use sassafrashoist_core::gateway::caller_check::is_asked_before_sending;
use sassafrashoist_core::gateway::caller_departure::{ANSWER_TIME, LastSign};
use sassafrashoist_core::gateway::server_directory::ServerChoice;
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_silence::{OtherServers, ServerSilence};
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;
use sassafrashoist_core::routing::server_limit::LimitStatement;
use sassafrashoist_platform::response_framing::ResponseFraming;

use super::confirm_incarnation::confirm_incarnation;
use super::gateway_context::GatewayContext;
use super::http_connection::Connection;
use super::isolate_suspects::Trial;
use super::reach_server::reach_server;
use super::relay_use::RelayUse;
use super::report_server_end::report_lost_connection;
use super::request_context::RequestContext;
use super::server_body::ServerBody;
use super::share_limit::start_reporting;
use super::share_rejections::{record_brittle, record_rejection};
use super::shared_stream::WriteEnd;
use super::silence_limit::SilenceLimit;

/// How long a connection of this VM may be silent when its path counts as lost. Old connections may
/// live on while new ones do not open.
const LOST_PATH_TIMEOUT: Duration = Duration::from_millis(500);
/// No request is sent when less time than this is left before its deadline.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(15);
/// Time between two checks whether a server is unresponsive.
const UNRESPONSIVE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The slot of a backend server that one attempt occupies; dropping it frees the slot.
#[derive(Debug)]
pub struct ServerSlot {
    context: Arc<GatewayContext>,
    chosen: ServerChoice,
    sent_at: Uptime,
    last_bytes_at: Uptime,
    has_response_started: bool,
    /// The connection through another VM.
    relay_use: Option<RelayUse>,
    /// Ends when the slot is freed.
    _trial: Option<Trial>,
    verdict: AttemptVerdict,
}

impl ServerSlot {
    /// Wraps a slot that the server directory has already counted.
    pub fn new(context: Arc<GatewayContext>, chosen: ServerChoice, trial: Option<Trial>) -> Self {
        let sent_at = context.now();
        Self {
            context,
            chosen,
            sent_at,
            last_bytes_at: sent_at,
            has_response_started: false,
            relay_use: None,
            _trial: trial,
            verdict: AttemptVerdict::Neutral,
        }
    }

    /// Returns the id of the server.
    pub fn server_id(&self) -> &str {
        &self.chosen.listing.id
    }

    /// Returns the listing of the server, as of when it was chosen.
    pub fn listing(&self) -> &ServerListing {
        &self.chosen.listing
    }

    /// Returns how long ago the request was sent.
    pub fn sent_ago(&self) -> Duration {
        self.context.now().saturating_sub(self.sent_at)
    }

    /// Returns whether the server is known to have a limit.
    fn has_limit(&self) -> bool {
        let now = self.context.now();
        let servers = self.context.lock_servers();
        servers.server(self.server_id()).is_some_and(|server| server.limit_per_s(now).is_some())
    }

    /// Records that bytes of the response arrived.
    pub fn record_bytes(&mut self) {
        let now = self.context.now();
        self.last_bytes_at = now;
        let mut servers = self.context.lock_servers();
        servers.record_bytes(&self.chosen.listing.id, now);
        if !self.has_response_started {
            self.has_response_started = true;
            let response_time = now.saturating_sub(self.sent_at);
            servers.record_response_start(
                &self.chosen.listing.id,
                self.chosen.prefill_tokens,
                response_time,
            );
        }
    }

    /// Returns whether this VM has lost its own path to the server.
    pub fn has_lost_path(&self) -> bool {
        self.context.lock_paths().is_lost(self.server_id())
    }

    /// Returns whether the request was sent on a path of this VM that is lost.
    pub fn is_path_lost(&self) -> bool {
        self.relay_use.is_none() && self.has_lost_path()
    }

    /// Returns the VM through which the server was reached.
    pub fn relay_vm_id(&self) -> Option<&str> {
        self.relay_use.as_ref().map(RelayUse::vm_id)
    }

    /// Records how the attempt failed.
    pub fn set_failed(&mut self, failure: AttemptFailure) {
        self.verdict = failure.verdict(self.relay_use.is_some(), self.has_lost_path());
    }

    /// Records how the attempt ended.
    pub fn set_verdict(&mut self, verdict: AttemptVerdict) {
        self.verdict = verdict;
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        let now = self.context.now();
        let mut servers = self.context.lock_servers();
        if !self.has_response_started {
            servers.record_no_response(&self.chosen.listing.id, self.chosen.prefill_tokens);
        }
        servers.end_attempt(&self.chosen.listing.id, self.verdict, now);
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct StartedResponse {
    /// The head and body.
    pub response: Response<ServerBody>,
    /// How the end of the body is marked.
    pub framing: ResponseFraming,
    /// The connection that the body arrives on.
    pub connection: Connection,
    /// The occupied slot of the server.
    pub slot: ServerSlot,
}

/// The result of an attempt up to the response head.
#[derive(Debug)]
pub enum AttemptStart {
    /// The server serves the request.
    Served(StartedResponse),
    /// The server ran the request and responds that it failed.
    Failed(StartedResponse),
    /// No connection to the server could be opened, so nothing was sent.
    NotReached,
    /// Nothing was sent, because the data centre of the server was evacuated meanwhile.
    Evacuated,
    /// Nothing was sent, because this VM stops too soon for the request.
    Stopping,
    /// Nothing was sent, because the deadline was reached before the connection was open.
    DeadlineReached,
    /// Nothing was sent, because the caller has left.
    CallerLeft,
    /// The server received the request, did not run it and never will.
    NotRun(&'static str),
    /// There is no valid response, and the request may have run.
    Lost(&'static str),
    /// Like `Lost`, as the server is silent; the retry is already counted.
    Silent,
}

/// Returns whether the caller of a request is still there. It is asked only if it may have left
/// unnoticed, because the request has waited.
pub async fn is_caller_there(context: &GatewayContext, request: &RequestContext) -> bool {
    if request.caller_left.is_cancelled() {
        return false;
    }
    let Some(presence) = &request.presence else {
        return true;
    };
    let now = context.now();
    let waited = context.longest_wait().max(now.saturating_sub(request.arrived_at));
    if !is_asked_before_sending(waited) || presence.confirm(now).await {
        return true;
    }
    metrics::counter!("sassafrashoist_callers_left_total").increment(1);
    log::info!(
        id = request.id(), waited_ms = waited.as_millis() as u64;
        "caller left before its request was sent"
    );
    false
}

/// Sends a request to a server and waits for the response head, at most until the deadline.
///
/// With `silence_limit`, the attempt also ends when the server has failed by its silence.
pub async fn send_attempt(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    chosen: ServerChoice,
    trial: Option<Trial>,
    last_event_id: Option<String>,
    silence_limit: Option<&SilenceLimit>,
) -> AttemptStart {
    let mut slot = ServerSlot::new(Arc::clone(context), chosen, trial);
    let goes_on = request.is_resumable() && last_event_id.is_some();
    if goes_on && !confirm_incarnation(context, slot.listing()).await {
        log::info!(
            id = request.id(), server = slot.server_id();
            "stream does not go on: the server may have started again"
        );
        return AttemptStart::NotReached;
    }
    let time_left = request.time_left(context.now());
    metrics::counter!("sassafrashoist_server_connections_total").increment(1);
    if slot.has_limit() {
        metrics::counter!("sassafrashoist_limited_server_requests_total").increment(1);
    }
    let mut connection = match reach_server(context, slot.listing(), time_left).await {
        Ok((connection, relay_use)) => {
            slot.relay_use = relay_use;
            connection
        }
        Err(error) => {
            let counts = context.lock_paths().counts();
            log::info!(
                id = request.id(), server = slot.server_id(), error:% = error,
                servers_reached = counts.reached, servers_not_reached = counts.failed,
                paths_lost = counts.lost;
                "not connected"
            );
            slot.set_failed(AttemptFailure::Lost);
            if !slot.has_lost_path() {
                context.lock_servers().record_refused_connection(slot.server_id());
            }
            return AttemptStart::NotReached;
        }
    };
    if !is_caller_there(context, request).await {
        return AttemptStart::CallerLeft;
    }
    if request.time_left(context.now()) < MIN_TIME_LEFT {
        return AttemptStart::DeadlineReached;
    }
    // Opening the connection may have taken tries at other VMs.
    if context.is_evacuated(slot.listing()) {
        metrics::counter!("sassafrashoist_evacuated_attempts_total").increment(1);
        log::info!(
            id = request.id(), server = slot.server_id(),
            data_centre = slot.listing().data_centre_id;
            "data centre evacuated before the request was sent"
        );
        return AttemptStart::Evacuated;
    }
    let is_first = !request.progress.was_sent();
    // Recorded before the check, as the answer at the end of the time to serve depends on it.
    request.progress.record_sent();
    if context.serving_ended.is_cancelled() || (is_first && !context.covers(request.deadline)) {
        return AttemptStart::Stopping;
    }
    let attempt = AttemptHeaders {
        server_id: slot.server_id().to_owned(),
        account_id: request.account_id.clone(),
        time_left: request.time_left(context.now()),
        priority: request.priority,
        last_event_id,
    };
    let mut server_request = Request::new(Full::new(request.body.clone()));
    *server_request.method_mut() = request.method.clone();
    *server_request.uri_mut() = origin_form(&request.uri);
    *server_request.headers_mut() = encode_attempt(&request.headers, &attempt);
    let write_end = connection.write_end();
    let result = {
        let sending = connection.send(server_request);
        tokio::pin!(sending);
        tokio::select! {
            result = &mut sending => result,
            () = request.caller_left.cancelled() => {
                let last = match wait_after_caller(&write_end, sending).await {
                    Some(Ok(response)) => Ok(response),
                    Some(Err(error)) => Err(LastSign::of_failure(error.failure())),
                    None => Err(LastSign::Nothing { is_path_lost: slot.is_path_lost() }),
                };
                match last {
                    Ok(response) => Ok(response),
                    Err(sign) if record_departure(request, &slot, sign) => {
                        return AttemptStart::Lost("caller left");
                    }
                    Err(_) => return AttemptStart::CallerLeft,
                }
            }
            () = tokio::time::sleep_until(context.instant(request.deadline)) => {
                return AttemptStart::Lost("no answer before the deadline");
            }
            () = wait_until_unresponsive(context, request, &slot, silence_limit) => {
                slot.set_failed(AttemptFailure::Lost);
                return AttemptStart::Silent;
            }
        }
    };
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            log::info!(
                id = request.id(), server = slot.server_id(), error:% = error;
                "connection lost"
            );
            report_lost_connection(context, request, &slot).await;
            slot.set_failed(error.failure());
            return AttemptStart::Lost("connection lost");
        }
    };
    classify_response(context, request, response, connection, slot)
}

/// Tells a server that the caller of its request has left, by the end of the request's stream, and waits
/// for what it has sent by then; `None` if nothing came in time.
///
/// The response of a server that had begun to run the request may be on its way, or, after this VM stood
/// still, in its buffers.
pub async fn wait_after_caller<T>(
    write_end: &WriteEnd,
    response: impl Future<Output = T>,
) -> Option<T> {
    if let Err(error) = write_end.close().await {
        log::debug!(error:% = error; "connection to a server ended before that of the caller");
    }
    tokio::time::timeout(ANSWER_TIME, response).await.ok()
}

/// Counts and logs what became of a request at its server after its caller had left; returns whether the
/// server may have run it.
pub fn record_departure(request: &RequestContext, slot: &ServerSlot, sign: LastSign) -> bool {
    let may_have_run = sign.may_have_run(request.route.repeatability.is_stream());
    let outcome = if may_have_run { "may-have-run" } else { "not-run" };
    metrics::counter!("sassafrashoist_left_at_server_total", "outcome" => outcome).increment(1);
    log::info!(
        id = request.id(), server = slot.server_id(), may_have_run = may_have_run, sign:? = sign;
        "caller left while its request was at a server"
    );
    may_have_run
}

fn classify_response(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    response: Response<ServerBody>,
    connection: Connection,
    mut slot: ServerSlot,
) -> AttemptStart {
    let request_id = request.caller.request_id.as_deref();
    let head = ResponseHead::decode(response.status(), response.headers(), request_id);
    let framing = ResponseFraming::of(&response);
    let now = context.now();
    context.lock_servers().record_bytes(slot.server_id(), now);
    if head.has_odd_slowness
        && let Some(unlogged) = context.record_odd_slowness(now)
    {
        log::warn!(
            server = slot.server_id(), unlogged = unlogged;
            "server reports a malformed slowness; it counts as absent"
        );
    }
    if let Some(load) = head.load {
        context.lock_servers().record_load(slot.server_id(), load, now);
    }
    if !matches!(head.kind, ResponseKind::Misdirected | ResponseKind::Unverified) {
        record_announcements(context, &slot, &head, now);
    }
    match head.kind {
        ResponseKind::Served => {
            AttemptStart::Served(StartedResponse { response, framing, connection, slot })
        }
        ResponseKind::Failed => {
            slot.set_verdict(AttemptVerdict::Failed);
            AttemptStart::Failed(StartedResponse { response, framing, connection, slot })
        }
        ResponseKind::NotRun => {
            if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                record_rejection(context, &slot);
            }
            AttemptStart::NotRun("server refused")
        }
        ResponseKind::Misdirected => {
            context.lock_servers().mark_unlisted(slot.server_id(), now);
            AttemptStart::NotRun("another server has the address")
        }
        ResponseKind::Unverified => {
            log::warn!(
                id = request.id(), server = slot.server_id(), status = response.status().as_u16();
                "answer does not belong to the request"
            );
            slot.set_verdict(AttemptVerdict::Failed);
            AttemptStart::Lost("answer does not belong to the request")
        }
    }
}

/// Records what a server says in its response about the requests that it wants.
fn record_announcements(
    context: &Arc<GatewayContext>,
    slot: &ServerSlot,
    head: &ResponseHead,
    now: Uptime,
) {
    let server_id = slot.server_id();
    if head.is_leaving && context.lock_servers().record_leaving(server_id, now) {
        log::info!(server = server_id; "server says that it leaves");
    }
    record_limit(context, slot, head, now);
    record_brittle(context, slot.listing(), head.max_rejections_per_s);
    if let Some(pause) = head.pause {
        context.lock_servers().record_pause(server_id, pause, now);
        log::info!(
            server = server_id, pause_ms = pause.as_millis() as u64;
            "server wants no requests for a time"
        );
    }
}

/// Records what a server says about its limit. A response that the server may not have made itself,
/// or that turns the request away, does not end the limit.
fn record_limit(
    context: &Arc<GatewayContext>,
    slot: &ServerSlot,
    head: &ResponseHead,
    now: Uptime,
) {
    let server_id = slot.server_id();
    let is_final = matches!(head.kind, ResponseKind::Served | ResponseKind::Failed);
    match head.limit {
        LimitStatement::NotNamed if !is_final => return,
        LimitStatement::Malformed => {
            log::warn!(server = server_id; "server names a malformed limit; the known one stays");
        }
        LimitStatement::Named(_) | LimitStatement::NotNamed => {}
    }
    let changed = context.lock_servers().record_limit(server_id, head.limit, slot.sent_at, now);
    let Some(limit) = changed else {
        return;
    };
    match limit.per_s() {
        Some(limit_per_s) => {
            log::info!(server = server_id, limit_per_s = limit_per_s; "server names its limit");
        }
        None => log::info!(server = server_id; "server names no limit any more"),
    }
    start_reporting(context, server_id);
}

/// Completes when a request has waited in vain for bytes of a server that has failed by its silence,
/// and may be retried; the retry is counted then. Never completes without a limit.
///
/// While the other servers are silent too, or none could take the request, it waits on. A connection
/// of this VM whose path is lost gets less time, and what the server sends through other VMs does not
/// count for it.
pub async fn wait_until_unresponsive(
    context: &GatewayContext,
    request: &RequestContext,
    slot: &ServerSlot,
    limit: Option<&SilenceLimit>,
) {
    let Some(limit) = limit else {
        return std::future::pending().await;
    };
    let mut silence = ServerSilence::new(context.now());
    let mut is_wait_recorded = false;
    loop {
        tokio::time::sleep(UNRESPONSIVE_POLL_INTERVAL).await;
        let now = context.now();
        let has_lost_path = slot.has_lost_path();
        let (active_at, others) = {
            let mut servers = context.lock_servers();
            let active_at = servers.server(slot.server_id()).map(|s| s.last_activity_at());
            let is_heard = active_at.is_some_and(|at| now < at + UNRESPONSIVE_POLL_INTERVAL);
            if is_heard && !has_lost_path {
                // Only a silence needs the state of all other servers.
                continue;
            }
            (active_at, servers.other_servers(slot.server_id(), &limit.requirements, now))
        };
        silence.update(active_at, &others, now);
        let silent_time = now.saturating_sub(slot.last_bytes_at);
        let is_path_silent = slot.relay_use.is_none()
            && has_lost_path
            && silent_time >= limit.timeout.min(LOST_PATH_TIMEOUT);
        if (is_path_silent || silence.is_failure(limit.timeout, &others))
            && context.try_retry(&request.pool_id)
        {
            metrics::counter!("sassafrashoist_silent_servers_left_total").increment(1);
            log_silence(request, slot, &silence, &others, "silent server given up");
            return;
        }
        if !is_wait_recorded && silence.total() >= limit.timeout {
            is_wait_recorded = true;
            metrics::counter!("sassafrashoist_silent_server_waits_total").increment(1);
            if context.is_silence_logged(now) {
                log_silence(request, slot, &silence, &others, "waiting for a silent server");
            }
        }
    }
}

fn log_silence(
    request: &RequestContext,
    slot: &ServerSlot,
    silence: &ServerSilence,
    others: &OtherServers,
    message: &str,
) {
    log::info!(
        id = request.id(), server = slot.server_id(),
        silent_ms = silence.total().as_millis() as u64,
        while_others_spoke_ms = silence.while_others_spoke().as_millis() as u64,
        others_speaking = others.speaking_count, others_silent = others.silent_count,
        has_substitute = others.has_substitute, path_lost = slot.has_lost_path();
        "{message}"
    );
}

fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| uri.clone(), |path| Uri::from(path.clone()))
}
