//! Sends a request to one backend server.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use sassafrashoist_adapter::request_headers::{AttemptHeaders, encode_attempt};
use sassafrashoist_adapter::response_headers::{ResponseHead, ResponseKind};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::server_directory::ServerChoice;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;

use super::gateway_context::GatewayContext;
use super::http_exchange::Connection;
use super::request_life::RequestLife;

/// How long a connection to a backend server may take to open: many times a hop, less than the
/// second after which a lost first packet is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time between two looks at a server that has not begun to answer.
const SILENCE_LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// A place on a server that one attempt holds; dropping it frees the place.
#[derive(Debug)]
pub struct AttemptPlace {
    context: Arc<GatewayContext>,
    chosen: ServerChoice,
    sent_at: Uptime,
    has_begun: bool,
    verdict: AttemptVerdict,
}

impl AttemptPlace {
    /// Takes over a place that the directory counted.
    pub fn new(context: Arc<GatewayContext>, chosen: ServerChoice) -> Self {
        let sent_at = context.now();
        Self { context, chosen, sent_at, has_begun: false, verdict: AttemptVerdict::Neutral }
    }

    /// Returns the server.
    pub fn server_id(&self) -> &str {
        &self.chosen.listing.id
    }

    /// Records that bytes of the answer came.
    pub fn record_bytes(&mut self) {
        let now = self.context.now();
        let mut servers = self.context.lock_servers();
        servers.record_bytes(&self.chosen.listing.id, now);
        if !self.has_begun {
            self.has_begun = true;
            let waited = now.saturating_sub(self.sent_at);
            servers.record_response_start(
                &self.chosen.listing.id,
                self.chosen.prefill_tokens,
                waited,
            );
        }
    }

    /// Records how the attempt ended.
    pub fn set_verdict(&mut self, verdict: AttemptVerdict) {
        self.verdict = verdict;
    }
}

impl Drop for AttemptPlace {
    fn drop(&mut self) {
        let now = self.context.now();
        let mut servers = self.context.lock_servers();
        if !self.has_begun {
            servers.record_no_response(&self.chosen.listing.id, self.chosen.prefill_tokens);
        }
        servers.end_attempt(&self.chosen.listing.id, self.verdict, now);
    }
}

/// An answer that a server has begun.
#[derive(Debug)]
pub struct BegunAnswer {
    /// Its head and body.
    pub response: Response<Incoming>,
    /// Its connection.
    pub connection: Connection,
    /// The place on its server.
    pub place: AttemptPlace,
}

/// How an attempt went up to the head of the answer.
#[derive(Debug)]
pub enum AttemptStart {
    /// The server answers the request.
    Answered(BegunAnswer),
    /// The server ran the request and answers with a failure of its own.
    Failed(BegunAnswer),
    /// No connection to the server was made, so that nothing was sent.
    NotReached,
    /// The server has the request, did not run it and never will.
    NotRun(&'static str),
    /// The request may have run.
    Lost(&'static str),
}

/// Sends a request to a server and waits for the head of the answer, at most until its deadline.
///
/// With `patience`, a server that says nothing at all, to no request, for that long is given up.
pub async fn send_attempt(
    context: &Arc<GatewayContext>,
    life: &RequestLife,
    chosen: ServerChoice,
    last_event_id: Option<String>,
    patience: Option<Duration>,
) -> AttemptStart {
    let mut place = AttemptPlace::new(Arc::clone(context), chosen);
    let address = place.chosen.listing.address;
    let timeout = CONNECT_TIMEOUT.min(life.time_left(context.now()));
    metrics::counter!("sassafrashoist_server_connections_total").increment(1);
    let mut connection = match Connection::open(address, timeout).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(id = life.id(), server = place.server_id(), error:% = error; "not connected");
            place.set_verdict(AttemptVerdict::Failed);
            return AttemptStart::NotReached;
        }
    };
    let attempt = AttemptHeaders {
        server_id: place.server_id().to_owned(),
        account_id: life.account_id.clone(),
        time_left: life.time_left(context.now()),
        priority: life.priority,
        last_event_id,
    };
    let mut request = Request::new(Full::new(life.body.clone()));
    *request.method_mut() = life.method.clone();
    *request.uri_mut() = origin_form(&life.uri);
    *request.headers_mut() = encode_attempt(&life.headers, &attempt);
    let result = tokio::select! {
        result = connection.send(request) => result,
        () = tokio::time::sleep_until(context.instant(life.deadline)) => {
            return AttemptStart::Lost("no answer before the deadline");
        }
        () = wait_for_silence(context, &place, patience) => {
            place.set_verdict(AttemptVerdict::Failed);
            return AttemptStart::Lost("server is silent");
        }
    };
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            log::info!(id = life.id(), server = place.server_id(), error:% = error; "connection lost");
            place.set_verdict(AttemptVerdict::Failed);
            return AttemptStart::Lost("connection lost");
        }
    };
    read_head(context, life, response, connection, place)
}

fn read_head(
    context: &GatewayContext,
    life: &RequestLife,
    response: Response<Incoming>,
    connection: Connection,
    mut place: AttemptPlace,
) -> AttemptStart {
    let request_id = life.caller.request_id.as_deref();
    let head = ResponseHead::decode(response.status(), response.headers(), request_id);
    let now = context.now();
    context.lock_servers().record_bytes(place.server_id(), now);
    if let Some(load) = head.load {
        context.lock_servers().record_load(place.server_id(), load, now);
    }
    match head.kind {
        ResponseKind::Served => AttemptStart::Answered(BegunAnswer { response, connection, place }),
        ResponseKind::Failed => {
            place.set_verdict(AttemptVerdict::Failed);
            AttemptStart::Failed(BegunAnswer { response, connection, place })
        }
        ResponseKind::NotRun => AttemptStart::NotRun("server refused"),
        ResponseKind::Misdirected => {
            context.lock_servers().mark_unlisted(place.server_id(), now);
            AttemptStart::NotRun("another server has the address")
        }
        ResponseKind::Unverified => {
            log::warn!(
                id = life.id(), server = place.server_id(), status = response.status().as_u16();
                "answer does not belong to the request"
            );
            place.set_verdict(AttemptVerdict::Failed);
            AttemptStart::Lost("answer does not belong to the request")
        }
    }
}

/// Returns when a server has been silent for `patience`; never without one.
pub async fn wait_for_silence(
    context: &GatewayContext,
    place: &AttemptPlace,
    patience: Option<Duration>,
) {
    let Some(patience) = patience else {
        return std::future::pending().await;
    };
    loop {
        let now = context.now();
        let silence = context.silence_of(place.server_id(), now);
        let waited = now.saturating_sub(place.sent_at);
        if waited >= patience && silence.is_none_or(|silence| silence >= patience) {
            return;
        }
        tokio::time::sleep(SILENCE_LOOK_INTERVAL).await;
    }
}

fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| uri.clone(), |path| Uri::from(path.clone()))
}
