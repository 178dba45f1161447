//! The HTTP server of the engine's stand-in.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use eyre::Result;
use futures::FutureExt;
use http::{HeaderMap, Request, Response};
use http_body::Frame;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;

use super::engine_settings::EngineSettings;
use super::engine_state::EngineState;
use super::response_tokens::{count_prompt_tokens, response_text, response_token};
use super::sequence::Sequence;
use super::slot_queue::SlotAcquisition;
use crate::http_util::{
    bind_loopback, build_broken_response, header_number, header_text, query_number, read_body,
};
use sassafrashoist::core::clock::read_clock;
use sassafrashoist::util::http_response::{build_json_response, build_response, set_header};
use sassafrashoist::util::http_server::{ConnectionGate, HttpHandler, serve_gated_http};
use sassafrashoist_core::routing::server_view::LoadReport;

/// The most response chunks buffered for a slow reader.
const CHUNK_QUEUE_LENGTH: usize = 16;
/// The number of tokens in a response where the request sets no maximum.
const DEFAULT_RESPONSE_TOKENS: u64 = 64;
/// The most blocks in a page of cache events where the request sets no maximum.
const DEFAULT_EVENT_BLOCKS: u64 = 100;
/// The priority of requests without a priority header.
const DEFAULT_PRIORITY: u64 = 5;

type ChunkResult = Result<Frame<Bytes>, volo_http::error::BoxError>;

/// The body of a request to a model.
#[derive(Debug, Deserialize)]
struct ModelRequest {
    model: String,
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// An engine in this process.
#[derive(Clone)]
pub struct EngineStandIn {
    /// The address of the HTTP server.
    pub address: SocketAddr,
    state: Arc<Mutex<EngineState>>,
}

impl EngineStandIn {
    /// Starts an engine on a loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(settings: EngineSettings, cancel: &CancellationToken) -> Result<Self> {
        let (listener, address) = bind_loopback().await?;
        let state = Arc::new(Mutex::new(EngineState::new(settings)));
        let engine = Self { address, state };
        let gate_engine = engine.clone();
        let gate: ConnectionGate = Arc::new(move || !gate_engine.lock().is_down());
        serve_gated_http(listener, engine.clone().build_handler(), gate, cancel.clone());
        Ok(engine)
    }

    /// Locks the state of the engine, to read counters or change settings.
    pub fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Crashes the engine; it is unreachable for its downtime.
    pub fn crash(&self) {
        self.lock().crash();
    }

    fn build_handler(self) -> HttpHandler {
        Arc::new(move |request| {
            let engine = self.clone();
            async move { engine.handle(request).await }.boxed()
        })
    }

    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        if self.lock().is_down() {
            return build_broken_response();
        }
        let request_id = header_text(request.headers(), "x-request-id");
        match request.uri().path() {
            "/control/load" => self.report_load(),
            "/control/cache-events" => self.report_cache_events(request.uri().query()),
            "/control/requests/cancel" => self.cancel(&request_id, read_attempt(request.headers())),
            "/control/requests/state" => self.read_state(&request_id),
            "/control/requests/stream" => self.resume(&request).await,
            _ => self.generate(request).await,
        }
    }

    fn report_load(&self) -> Response<Body> {
        let mut state = self.lock();
        let current = LoadReport {
            taken_at: read_clock(),
            running_count: state.slots.running_count() as u32,
            queued_count: state.slots.queued_count() as u32,
        };
        build_json_response(200, &state.delayed_report(current))
    }

    fn report_cache_events(&self, query: Option<&str>) -> Response<Body> {
        let query = query.unwrap_or_default();
        let from = query_number(query, "from").unwrap_or(0);
        let max_blocks = query_number(query, "max_blocks").unwrap_or(DEFAULT_EVENT_BLOCKS);
        let state = self.lock();
        let lag = state.settings.cache_event_lag;
        build_json_response(200, &state.cache_events.read(from, max_blocks as usize, lag))
    }

    fn cancel(&self, request_id: &str, attempt: u64) -> Response<Body> {
        let Some(sequence) = self.lock().sequence(request_id) else {
            return build_response(404, "text/plain", "no such request\n");
        };
        if !sequence.is_superseded(attempt) {
            sequence.abort();
        }
        build_json_response(200, &json!({ "total_tokens": sequence.used_tokens() }))
    }

    fn read_state(&self, request_id: &str) -> Response<Body> {
        let Some(sequence) = self.lock().sequence(request_id) else {
            return build_response(404, "text/plain", "no such request\n");
        };
        let progress = *sequence.progress.borrow();
        build_json_response(
            200,
            &json!({
                "is_ended": progress.is_ended,
                "is_broken": progress.is_aborted,
                "made_tokens": progress.generated_tokens,
                "total_tokens": sequence.used_tokens(),
            }),
        )
    }

    async fn generate(&self, request: Request<Body>) -> Response<Body> {
        let headers = request.headers().clone();
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let Ok(parsed) = serde_json::from_slice::<ModelRequest>(&body) else {
            return build_response(400, "text/plain", "malformed request\n");
        };
        let incarnation = {
            let mut state = self.lock();
            if !state.settings.model_ids.contains(&parsed.model) {
                return refuse_not_started("model is not loaded\n");
            }
            if contains_crash_marker(&state, &parsed.prompt) {
                state.started_count += 1;
                state.crash();
                return build_broken_response();
            }
            state.incarnation
        };
        let priority = header_number(&headers, "x-priority").unwrap_or(DEFAULT_PRIORITY) as u8;
        let acquisition = self.lock().slots.acquire(priority);
        match acquisition {
            SlotAcquisition::Acquired => {}
            SlotAcquisition::QueueFull => return refuse_not_started("queue is full\n"),
            SlotAcquisition::Queued(woken) => {
                if woken.await.is_err() {
                    return build_broken_response();
                }
            }
        }
        let max_tokens = header_number(&headers, "x-max-tokens");
        let target_tokens = parsed.max_tokens.unwrap_or(DEFAULT_RESPONSE_TOKENS);
        let target_tokens = target_tokens.min(max_tokens.unwrap_or(u64::MAX));
        let sequence = Arc::new(Sequence::new(parsed.prompt, target_tokens));
        let request_id = header_text(&headers, "x-request-id");
        self.lock().insert_sequence(&request_id, Arc::clone(&sequence));
        tokio::spawn(self.clone().run_sequence(Arc::clone(&sequence), incarnation));
        let header = ChunkHeader { request_id, attempt: read_attempt(&headers) };
        sequence.record_attempt(header.attempt);
        if parsed.stream {
            stream_response(header, sequence, 0)
        } else {
            collect_response(header, sequence).await
        }
    }

    async fn run_sequence(self, sequence: Arc<Sequence>, incarnation: u64) {
        let (prefill, step_time) = self.start_sequence(&sequence);
        tokio::time::sleep(prefill).await;
        while !sequence.progress.borrow().is_ended {
            tokio::time::sleep(step_time).await;
            let mut state = self.lock();
            if state.incarnation != incarnation {
                return;
            }
            state.generated_tokens += 1;
            drop(state);
            sequence.progress.send_modify(|progress| {
                if !progress.is_ended {
                    progress.generated_tokens += 1;
                    progress.is_ended = progress.generated_tokens >= sequence.target_tokens;
                }
            });
        }
        let mut state = self.lock();
        if state.incarnation == incarnation {
            state.slots.release();
        }
    }

    fn start_sequence(&self, sequence: &Sequence) -> (std::time::Duration, std::time::Duration) {
        let mut state = self.lock();
        let prompt_tokens = count_prompt_tokens(&sequence.prompt);
        let cached_prefix_tokens =
            state.cache.cached_prefix_tokens(&sequence.prompt).min(prompt_tokens);
        state.started_count += 1;
        state.prompt_tokens += prompt_tokens;
        state.cache_hit_tokens += cached_prefix_tokens;
        state.cache_prompt(&sequence.prompt);
        let uncached_tokens = (prompt_tokens - cached_prefix_tokens) as u32;
        (state.settings.prefill_time_per_token * uncached_tokens, state.settings.step_time)
    }
}

/// The fields that every chunk of a response carries.
pub(super) struct ChunkHeader {
    /// The id of the request.
    pub request_id: String,
    /// The attempt that reads the response.
    pub attempt: u64,
}

/// Returns the attempt that a request belongs to; 1 without a header.
pub(super) fn read_attempt(headers: &HeaderMap) -> u64 {
    header_number(headers, "x-attempt").unwrap_or(1)
}

fn contains_crash_marker(state: &EngineState, prompt: &str) -> bool {
    state.settings.crash_marker.as_ref().is_some_and(|marker| prompt.contains(marker))
}

fn refuse_not_started(reason: &'static str) -> Response<Body> {
    let mut response = build_response(503, "text/plain", reason);
    set_header(&mut response, "x-outcome", "not-run");
    response
}

/// Streams a response from a given chunk on.
pub(super) fn stream_response(
    header: ChunkHeader,
    sequence: Arc<Sequence>,
    from_index: u64,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(CHUNK_QUEUE_LENGTH);
    tokio::spawn(send_chunks(header, sequence, sender, from_index));
    let mut response = Response::new(Body::from_stream(ReceiverStream::new(receiver)));
    set_header(&mut response, "content-type", "text/event-stream");
    response
}

async fn send_chunks(
    header: ChunkHeader,
    sequence: Arc<Sequence>,
    sender: mpsc::Sender<ChunkResult>,
    from_index: u64,
) {
    let mut progress = sequence.progress.subscribe();
    let mut sent_tokens = from_index;
    loop {
        let current = *progress.borrow_and_update();
        while sent_tokens < current.generated_tokens {
            let token = response_token(&sequence.prompt, sent_tokens);
            let chunk = json!({
                "id": header.request_id, "attempt": header.attempt, "index": sent_tokens,
                "choices": [{ "index": 0, "delta": { "content": token } }],
            });
            if sender.send(build_event(&chunk.to_string())).await.is_err() {
                return;
            }
            sent_tokens += 1;
        }
        if current.is_aborted {
            let _ = sender.send(Err("engine lost the request".into())).await;
            return;
        }
        if current.is_ended {
            break;
        }
        if progress.changed().await.is_err() {
            return;
        }
    }
    let last_chunk = json!({
        "id": header.request_id, "attempt": header.attempt, "index": sent_tokens,
        "choices": [], "usage": usage(&sequence),
    });
    let _ = sender.send(build_event(&last_chunk.to_string())).await;
    let _ = sender.send(build_event("[DONE]")).await;
}

fn build_event(data: &str) -> ChunkResult {
    Ok(Frame::data(Bytes::from(format!("data: {data}\n\n"))))
}

/// Sends a response in one piece once it is complete.
pub(super) async fn collect_response(
    header: ChunkHeader,
    sequence: Arc<Sequence>,
) -> Response<Body> {
    let mut progress = sequence.progress.subscribe();
    let ended = progress.wait_for(|progress| progress.is_ended).await.map(|progress| *progress);
    match ended {
        Ok(progress) if !progress.is_aborted => build_json_response(
            200,
            &json!({
                "id": header.request_id, "attempt": header.attempt,
                "choices": [{ "index": 0, "message": {
                    "content": response_text(&sequence.prompt, progress.generated_tokens) } }],
                "usage": usage(&sequence),
            }),
        ),
        _ => build_broken_response(),
    }
}

fn usage(sequence: &Sequence) -> serde_json::Value {
    let prompt_tokens = count_prompt_tokens(&sequence.prompt);
    let total_tokens = sequence.used_tokens();
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": total_tokens - prompt_tokens,
        "total_tokens": total_tokens,
    })
}
