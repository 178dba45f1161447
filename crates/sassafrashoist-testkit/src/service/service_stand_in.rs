//! A plain service that counts the executions of each request, by idempotency key.

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

use crate::http_util::{bind_loopback, build_broken_response, header_text, read_body};
use sassafrashoist::core::clock::read_clock;
use sassafrashoist::util::http_response::{
    build_json_response, build_response, delimit_by_close, hide_length, set_header,
};
use sassafrashoist::util::http_server::{HttpHandler, serve_http};
use sassafrashoist_core::routing::server_view::LoadReport;

/// The faults that a plain service injects.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Time that each request takes.
    pub added_latency: Duration,
    /// How many of the next requests are executed but lose their response.
    pub lost_responses: u32,
    /// How many of the next responses carry the id of another request.
    pub mismatched_responses: u32,
    /// How many of the next responses have neither a length nor chunks and end with their
    /// connection.
    pub close_delimited_responses: u32,
}

/// The faults of one response.
struct ExecutionFaults {
    is_lost: bool,
    is_mismatched: bool,
    is_close_delimited: bool,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    execution_counts: BTreeMap<String, u32>,
    running_count: u32,
}

/// A plain service in this process.
#[derive(Clone)]
pub struct ServiceStandIn {
    /// The address of the HTTP server.
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

    /// Returns how often the request with a given key was executed.
    pub fn execution_count(&self, key: &str) -> u32 {
        self.lock().execution_counts.get(key).copied().unwrap_or(0)
    }

    /// Returns how often each request was executed, by key.
    pub fn execution_counts(&self) -> BTreeMap<String, u32> {
        self.lock().execution_counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn build_handler(self) -> HttpHandler {
        Arc::new(move |request| {
            let service = self.clone();
            async move { service.handle(request).await }.boxed()
        })
    }

    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        if request.uri().path() == "/control/load" {
            let running_count = self.lock().running_count;
            let report = LoadReport { taken_at: read_clock(), running_count, queued_count: 0 };
            return build_json_response(200, &report);
        }
        let key = header_text(request.headers(), "idempotency-key");
        if key.is_empty() {
            // Routers send a key. A process of another run may still use this port's earlier owner.
            return build_response(400, "text/plain", "request has no idempotency-key\n");
        }
        let request_id = header_text(request.headers(), "x-request-id");
        let attempt = header_text(request.headers(), "x-attempt");
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let (execution_count, added_latency) = self.start_execution(&key);
        tokio::time::sleep(added_latency).await;
        let ExecutionFaults { is_lost, is_mismatched, is_close_delimited } =
            self.finish_execution();
        if is_lost {
            return build_broken_response();
        }
        let response_id = if is_mismatched { "another/request" } else { request_id.as_str() };
        let mut response = build_json_response(
            200,
            &json!({ "accepted": true, "run": execution_count, "body_bytes": body.len() }),
        );
        set_header(&mut response, "x-request-id", response_id);
        set_header(&mut response, "x-attempt", &attempt);
        if is_close_delimited {
            response = response.map(hide_length);
            delimit_by_close(&mut response);
        }
        response
    }

    fn start_execution(&self, key: &str) -> (u32, Duration) {
        let mut state = self.lock();
        state.running_count += 1;
        let count = state.execution_counts.entry(key.to_owned()).or_default();
        *count += 1;
        (*count, state.faults.added_latency)
    }

    fn finish_execution(&self) -> ExecutionFaults {
        let mut state = self.lock();
        state.running_count -= 1;
        let faults = &mut state.faults;
        ExecutionFaults {
            is_lost: take_one(&mut faults.lost_responses),
            is_mismatched: take_one(&mut faults.mismatched_responses),
            is_close_delimited: take_one(&mut faults.close_delimited_responses),
        }
    }
}

/// Decrements a count; returns whether it was above 0.
fn take_one(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count -= u32::from(is_due);
    is_due
}
