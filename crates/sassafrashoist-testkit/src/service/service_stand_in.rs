//! A plain service that counts its runs by idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::Result;
use futures::FutureExt;
use http::{Request, Response};
use serde_json::json;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;

use crate::http_util::{bind_loopback, build_broken_answer, header_text, read_whole_body};
use sassafrashoist::core::clock::read_clock;
use sassafrashoist::util::http_response::{build_json_response, set_header};
use sassafrashoist::util::http_server::{HttpHandler, serve_http};
use sassafrashoist_core::routing::server_view::LoadReport;

/// The faults of a plain service.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Time that each call takes.
    pub slowness: Duration,
    /// How many of the next calls run and lose their answer.
    pub dropped_answers: u32,
    /// How many of the next answers carry another request's id.
    pub crossed_answers: u32,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    runs_by_key: BTreeMap<String, u32>,
    running_count: u32,
}

/// A plain service that runs in this process.
#[derive(Clone)]
pub struct ServiceStandIn {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<ServiceState>>,
}

impl ServiceStandIn {
    /// Starts a service on a loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(cancel: &CancellationToken) -> Result<Self> {
        let (listener, address) = bind_loopback().await?;
        let service = Self { address, state: Arc::default() };
        serve_http(listener, service.clone().build_handler(), cancel.clone());
        Ok(service)
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.lock().faults);
    }

    /// Returns how often the request with a key ran.
    pub fn run_count(&self, key: &str) -> u32 {
        self.lock().runs_by_key.get(key).copied().unwrap_or(0)
    }

    /// Returns every key and how often its request ran.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        self.lock().runs_by_key.clone()
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn build_handler(self) -> HttpHandler {
        Arc::new(move |request| {
            let service = self.clone();
            async move { service.answer(request).await }.boxed()
        })
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        if request.uri().path() == "/control/load" {
            let running_count = self.lock().running_count;
            let report = LoadReport { taken_at: read_clock(), running_count, queued_count: 0 };
            return build_json_response(200, &report);
        }
        let key = header_text(request.headers(), "idempotency-key");
        let request_id = header_text(request.headers(), "x-request-id");
        let attempt = header_text(request.headers(), "x-attempt");
        let body = read_whole_body(request).await;
        let (run_count, slowness) = self.begin_run(&key);
        tokio::time::sleep(slowness).await;
        let (is_dropped, is_crossed) = self.end_run();
        if is_dropped {
            return build_broken_answer();
        }
        let answered_id = if is_crossed { "another/request" } else { request_id.as_str() };
        let mut response = build_json_response(
            200,
            &json!({ "accepted": true, "run": run_count, "body_bytes": body.len() }),
        );
        set_header(&mut response, "x-request-id", answered_id);
        set_header(&mut response, "x-attempt", &attempt);
        response
    }

    fn begin_run(&self, key: &str) -> (u32, Duration) {
        let mut state = self.lock();
        state.running_count += 1;
        let runs = state.runs_by_key.entry(key.to_owned()).or_default();
        *runs += 1;
        (*runs, state.faults.slowness)
    }

    fn end_run(&self) -> (bool, bool) {
        let mut state = self.lock();
        state.running_count -= 1;
        let is_dropped = state.faults.dropped_answers > 0;
        let is_crossed = state.faults.crossed_answers > 0;
        state.faults.dropped_answers -= u32::from(is_dropped);
        state.faults.crossed_answers -= u32::from(is_crossed);
        (is_dropped, is_crossed)
    }
}
