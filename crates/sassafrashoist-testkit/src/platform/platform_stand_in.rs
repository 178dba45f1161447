//! The HTTP server of the platform's stand-in. Appends and fetches of weights each have a rate
//! limit, counted in fixed windows of one second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use futures::FutureExt;
use http::{Method, Request, Response};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;

use super::log_streams::LogStreams;
use super::platform_faults::PlatformFaults;
use crate::http_util::{
    bind_loopback, build_broken_response, header_text, query_number, read_body,
};
use sassafrashoist::util::http_response::{build_json_response, build_response};
use sassafrashoist::util::http_server::{HttpHandler, serve_http};
use sassafrashoist_platform::wire::{
    AppendRequest, AppendResponse, DATA_CENTRE_HEADER, ListedState, ListedVm, TrimmedResponse,
};

/// How long a request to an unresponsive platform is held before its connection is broken.
const UNRESPONSIVE_HOLD_TIME: Duration = Duration::from_secs(5);
/// The most records in a page where the request sets no maximum.
const DEFAULT_PAGE_RECORDS: u64 = 100;

#[derive(Debug, Default)]
struct RateWindow {
    started_at: Option<Instant>,
    count: u32,
}

impl RateWindow {
    fn try_acquire(&mut self, max_per_second: u32) -> bool {
        let is_expired = self.started_at.is_none_or(|at| at.elapsed() >= Duration::from_secs(1));
        if is_expired {
            *self = Self { started_at: Some(Instant::now()), count: 0 };
        }
        self.count += 1;
        self.count <= max_per_second
    }
}

#[derive(Debug, Default)]
struct PlatformState {
    faults: PlatformFaults,
    streams: LogStreams,
    vms: BTreeMap<String, (Instant, ListedVm)>,
    weights: BTreeMap<String, Vec<u8>>,
    append_window: RateWindow,
    weight_window: RateWindow,
}

/// A platform in this process.
#[derive(Clone)]
pub struct PlatformStandIn {
    /// The address of the HTTP server.
    pub address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
    appended: Arc<Notify>,
}

impl PlatformStandIn {
    /// Starts a platform on a loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(cancel: &CancellationToken) -> Result<Self> {
        let (listener, address) = bind_loopback().await?;
        let platform = Self { address, state: Arc::default(), appended: Arc::default() };
        serve_http(listener, platform.clone().build_handler(), cancel.clone());
        Ok(platform)
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.lock().faults);
    }

    /// Lists a VM or backend server, or changes its state; the change is visible after
    /// `vm_list_lag`.
    pub fn list_vm(&self, vm: ListedVm) {
        self.lock().vms.insert(vm.id.clone(), (Instant::now(), vm));
    }

    /// Marks a VM or backend server as leaving in the list.
    pub fn publish_leaving(&self, id: &str, data_centre_id: &str) {
        self.list_vm(ListedVm {
            id: id.to_owned(),
            data_centre_id: data_centre_id.to_owned(),
            state: ListedState::Leaving,
        });
    }

    /// Removes a VM from the list.
    pub fn remove_listed_vm(&self, id: &str) {
        self.lock().vms.remove(id);
    }

    /// Stores the weights of a model.
    pub fn store_weights(&self, name: &str, content: Vec<u8>) {
        self.lock().weights.insert(name.to_owned(), content);
    }

    /// Returns the number of append requests that took effect.
    pub fn append_request_count(&self) -> u64 {
        self.lock().streams.append_request_count()
    }

    /// Returns the payload bytes of all records read.
    pub fn read_bytes(&self) -> u64 {
        self.lock().streams.read_bytes()
    }

    /// Appends records directly, without HTTP and rate limit, to prepare a large log.
    pub fn preload(&self, stream: &str, payloads: Vec<Vec<u8>>) {
        self.lock().streams.append(stream, payloads);
        self.appended.notify_waiters();
    }

    /// Returns the number of reads.
    pub fn read_count(&self) -> u64 {
        self.lock().streams.read_count()
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn build_handler(self) -> HttpHandler {
        Arc::new(move |request| {
            let platform = self.clone();
            async move { platform.handle(request).await }.boxed()
        })
    }

    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let data_centre_id = header_text(request.headers(), DATA_CENTRE_HEADER);
        if self.is_unresponsive_to(&data_centre_id) {
            tokio::time::sleep(UNRESPONSIVE_HOLD_TIME).await;
            return build_broken_response();
        }
        let added_latency = self.lock().faults.added_latency;
        if !added_latency.is_zero() {
            tokio::time::sleep(added_latency).await;
        }
        let path = request.uri().path().to_owned();
        if let Some(stream) = stream_in_path(&path) {
            return match *request.method() {
                Method::POST => self.append(stream, request).await,
                _ => self.read(stream, &data_centre_id, request.uri().query()).await,
            };
        }
        if let Some(name) = path.strip_prefix("/weights/") {
            return self.fetch_weights(name);
        }
        match path.as_str() {
            "/vms" => build_json_response(200, &self.listed_vms()),
            _ => build_response(404, "text/plain", "no such service\n"),
        }
    }

    fn is_unresponsive_to(&self, data_centre_id: &str) -> bool {
        let state = self.lock();
        state.faults.is_unresponsive || state.faults.cut_data_centres.contains(data_centre_id)
    }

    async fn append(&self, stream: &str, request: Request<Body>) -> Response<Body> {
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let Ok(batch) = serde_json::from_slice::<AppendRequest>(&body) else {
            return build_response(400, "text/plain", "malformed batch\n");
        };
        let mut state = self.lock();
        let max_per_second = state.faults.max_appends_per_second;
        if !state.append_window.try_acquire(max_per_second) {
            return build_response(429, "text/plain", "append rate limit\n");
        }
        let first_offset = state.streams.append(stream, batch.payloads);
        self.appended.notify_waiters();
        if state.faults.lost_append_responses > 0 {
            state.faults.lost_append_responses -= 1;
            return build_broken_response();
        }
        build_json_response(200, &AppendResponse { first_offset })
    }

    async fn read(
        &self,
        stream: &str,
        data_centre_id: &str,
        query: Option<&str>,
    ) -> Response<Body> {
        let query = query.unwrap_or_default();
        let from_offset = query_number(query, "from").unwrap_or(0);
        let max_count = query_number(query, "max").unwrap_or(DEFAULT_PAGE_RECORDS) as usize;
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            if self.is_unresponsive_to(data_centre_id) {
                tokio::time::sleep(UNRESPONSIVE_HOLD_TIME).await;
                return build_broken_response();
            }
            let page = {
                let mut state = self.lock();
                if let Some(age) = state.faults.trim_after {
                    state.streams.trim(age);
                }
                state.streams.read(stream, from_offset, max_count)
            };
            match page {
                Err(earliest_offset) => {
                    return build_json_response(410, &TrimmedResponse { earliest_offset });
                }
                Ok(page) => {
                    let is_timed_out = tokio::time::Instant::now() >= deadline;
                    if is_timed_out || !page.records.is_empty() {
                        return build_json_response(200, &page);
                    }
                }
            }
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }

    fn fetch_weights(&self, name: &str) -> Response<Body> {
        let mut state = self.lock();
        let max_per_second = state.faults.max_weight_fetches_per_second;
        if !state.weight_window.try_acquire(max_per_second) {
            return build_response(429, "text/plain", "weight rate limit\n");
        }
        match state.weights.get(name) {
            Some(content) => build_response(200, "application/octet-stream", content.clone()),
            None => build_response(404, "text/plain", "no such weights\n"),
        }
    }

    fn listed_vms(&self) -> Vec<ListedVm> {
        let state = self.lock();
        let lag = state.faults.vm_list_lag;
        let visible = state.vms.values().filter(|(changed_at, _)| changed_at.elapsed() >= lag);
        visible.map(|(_, vm)| vm.clone()).collect()
    }
}

fn stream_in_path(path: &str) -> Option<&str> {
    path.strip_prefix("/streams/")?.strip_suffix("/records")
}
