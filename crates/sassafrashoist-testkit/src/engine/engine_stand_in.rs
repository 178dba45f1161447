//! The engine's HTTP server.

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

use super::answer_tokens::{answer_token, count_prompt_tokens, whole_answer};
use super::engine_settings::EngineSettings;
use super::engine_state::EngineState;
use super::sequence::Sequence;
use super::slot_queue::SlotOffer;
use crate::http_util::{
    bind_loopback, build_broken_answer, header_number, header_text, query_number, read_whole_body,
};
use sassafrashoist::core::clock::read_clock;
use sassafrashoist::util::http_response::{build_json_response, build_response, set_header};
use sassafrashoist::util::http_server::{ConnectionGate, HttpHandler, serve_gated_http};
use sassafrashoist_core::routing::server_view::LoadReport;

/// Parts that wait for a slow reader.
const PART_QUEUE_LENGTH: usize = 16;
/// Tokens of an answer where the request names no bound.
const DEFAULT_ANSWER_TOKENS: u64 = 64;
/// Blocks of a page of cache events where the call names no bound.
const DEFAULT_EVENT_BLOCKS: u64 = 100;
/// The priority of requests that name none.
const DEFAULT_PRIORITY: u64 = 5;

type PartResult = Result<Frame<Bytes>, volo_http::error::BoxError>;

/// The body of a request to a model.
#[derive(Debug, Deserialize)]
struct ModelRequest {
    model: String,
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// An engine that runs in this process.
#[derive(Clone)]
pub struct EngineStandIn {
    /// Where it listens.
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

    /// Locks what the engine knows, to read counters or change settings.
    pub fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Crashes the engine.
    pub fn crash(&self) {
        self.lock().crash();
    }

    fn build_handler(self) -> HttpHandler {
        Arc::new(move |request| {
            let engine = self.clone();
            async move { engine.answer(request).await }.boxed()
        })
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        if self.lock().is_down() {
            return build_broken_answer();
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
        build_json_response(200, &state.lagging_report(current))
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
            sequence.stop();
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
                "is_broken": progress.is_broken,
                "made_tokens": progress.made_tokens,
                "total_tokens": sequence.used_tokens(),
            }),
        )
    }

    async fn generate(&self, request: Request<Body>) -> Response<Body> {
        let headers = request.headers().clone();
        let body = read_whole_body(request).await;
        let Ok(parsed) = serde_json::from_slice::<ModelRequest>(&body) else {
            return build_response(400, "text/plain", "malformed request\n");
        };
        let life = {
            let mut state = self.lock();
            if !state.settings.model_ids.contains(&parsed.model) {
                return refuse_unbegun("model is not loaded\n");
            }
            if is_poison(&state, &parsed.prompt) {
                state.begun_count += 1;
                state.crash();
                return build_broken_answer();
            }
            state.life
        };
        let priority = header_number(&headers, "x-priority").unwrap_or(DEFAULT_PRIORITY) as u8;
        let offer = self.lock().slots.take(priority);
        match offer {
            SlotOffer::Taken => {}
            SlotOffer::Refused => return refuse_unbegun("queue is full\n"),
            SlotOffer::Wait(woken) => {
                if woken.await.is_err() {
                    return build_broken_answer();
                }
            }
        }
        let bound = header_number(&headers, "x-max-tokens");
        let wanted = parsed.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        let wanted = wanted.min(bound.unwrap_or(u64::MAX));
        let sequence = Arc::new(Sequence::new(parsed.prompt, wanted));
        let request_id = header_text(&headers, "x-request-id");
        self.lock().insert_sequence(&request_id, Arc::clone(&sequence));
        tokio::spawn(self.clone().run_sequence(Arc::clone(&sequence), life));
        let mark = PartMark { request_id, attempt: read_attempt(&headers) };
        sequence.record_attempt(mark.attempt);
        if parsed.stream { stream_answer(mark, sequence, 0) } else { collect(mark, sequence).await }
    }

    async fn run_sequence(self, sequence: Arc<Sequence>, life: u64) {
        let (prefill, step_time) = self.begin_sequence(&sequence);
        tokio::time::sleep(prefill).await;
        while !sequence.progress.borrow().is_ended {
            tokio::time::sleep(step_time).await;
            let mut state = self.lock();
            if state.life != life {
                return;
            }
            state.made_tokens += 1;
            drop(state);
            sequence.progress.send_modify(|progress| {
                if !progress.is_ended {
                    progress.made_tokens += 1;
                    progress.is_ended = progress.made_tokens >= sequence.wanted_tokens;
                }
            });
        }
        let mut state = self.lock();
        if state.life == life {
            state.slots.release();
        }
    }

    fn begin_sequence(&self, sequence: &Sequence) -> (std::time::Duration, std::time::Duration) {
        let mut state = self.lock();
        let prompt_tokens = count_prompt_tokens(&sequence.prompt);
        let covered_tokens = state.cache.covered_tokens(&sequence.prompt).min(prompt_tokens);
        state.begun_count += 1;
        state.prompt_tokens += prompt_tokens;
        state.cache_hit_tokens += covered_tokens;
        state.cache_prompt(&sequence.prompt);
        let uncovered = (prompt_tokens - covered_tokens) as u32;
        (state.settings.prefill_time_per_token * uncovered, state.settings.step_time)
    }
}

/// What every part of an answer carries.
pub(super) struct PartMark {
    /// The request.
    pub request_id: String,
    /// The attempt that reads the answer.
    pub attempt: u64,
}

/// Returns the attempt of a call.
pub(super) fn read_attempt(headers: &HeaderMap) -> u64 {
    header_number(headers, "x-attempt").unwrap_or(1)
}

fn is_poison(state: &EngineState, prompt: &str) -> bool {
    state.settings.crash_marker.as_ref().is_some_and(|marker| prompt.contains(marker))
}

fn refuse_unbegun(reason: &'static str) -> Response<Body> {
    let mut response = build_response(503, "text/plain", reason);
    set_header(&mut response, "x-outcome", "not-run");
    response
}

/// Streams an answer from one part on.
pub(super) fn stream_answer(
    mark: PartMark,
    sequence: Arc<Sequence>,
    from_index: u64,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(PART_QUEUE_LENGTH);
    tokio::spawn(send_parts(mark, sequence, sender, from_index));
    let mut response = Response::new(Body::from_stream(ReceiverStream::new(receiver)));
    set_header(&mut response, "content-type", "text/event-stream");
    response
}

async fn send_parts(
    mark: PartMark,
    sequence: Arc<Sequence>,
    sender: mpsc::Sender<PartResult>,
    from_index: u64,
) {
    let mut progress = sequence.progress.subscribe();
    let mut sent_tokens = from_index;
    loop {
        let now = *progress.borrow_and_update();
        while sent_tokens < now.made_tokens {
            let token = answer_token(&sequence.prompt, sent_tokens);
            let part = json!({
                "id": mark.request_id, "attempt": mark.attempt, "index": sent_tokens,
                "choices": [{ "index": 0, "delta": { "content": token } }],
            });
            if sender.send(event(&part.to_string())).await.is_err() {
                return;
            }
            sent_tokens += 1;
        }
        if now.is_broken {
            let _ = sender.send(Err("engine lost the request".into())).await;
            return;
        }
        if now.is_ended {
            break;
        }
        if progress.changed().await.is_err() {
            return;
        }
    }
    let last = json!({
        "id": mark.request_id, "attempt": mark.attempt, "index": sent_tokens,
        "choices": [], "usage": usage(&sequence),
    });
    let _ = sender.send(event(&last.to_string())).await;
    let _ = sender.send(event("[DONE]")).await;
}

fn event(data: &str) -> PartResult {
    Ok(Frame::data(Bytes::from(format!("data: {data}\n\n"))))
}

/// Sends an answer when it is whole.
pub(super) async fn collect(mark: PartMark, sequence: Arc<Sequence>) -> Response<Body> {
    let mut progress = sequence.progress.subscribe();
    let ended = progress.wait_for(|progress| progress.is_ended).await.map(|progress| *progress);
    match ended {
        Ok(progress) if !progress.is_broken => build_json_response(
            200,
            &json!({
                "id": mark.request_id, "attempt": mark.attempt,
                "choices": [{ "index": 0, "message": {
                    "content": whole_answer(&sequence.prompt, progress.made_tokens) } }],
                "usage": usage(&sequence),
            }),
        ),
        _ => build_broken_answer(),
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
