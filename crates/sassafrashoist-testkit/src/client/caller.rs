//! A caller that sends requests and reads whole answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::BodyExt;
use serde_json::Value;
use volo_http::body::Body;
use volo_http::client::Client;

use sassafrashoist::core::response_sink::DONE_DATA;
use sassafrashoist_core::event_splitter::EventSplitter;

/// How long a caller waits for a whole answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// A request as a caller sends it.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// The path of the route.
    pub path: String,
    /// The body.
    pub body: String,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
}

/// An answer as a caller reads it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, byte for byte.
    pub body: Bytes,
    /// The text of a model's answer.
    pub text: String,
    /// The tokens that the engine says were used.
    pub used_tokens: u64,
    /// Whether the answer says that it is complete.
    pub is_whole: bool,
    /// Time from sending to the first token, or to the whole answer when it is not streamed.
    pub first_token_time: Duration,
    /// Time between one token and the next.
    pub token_gaps: Vec<Duration>,
}

impl Answer {
    /// Whether it is a success that says that it is complete.
    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_whole
    }

    /// The numbered result.
    pub fn result_code(&self) -> u16 {
        self.header("x-result-code").parse().unwrap_or(0)
    }

    /// What the caller is told of its request; empty on success.
    pub fn outcome(&self) -> &str {
        self.header("x-outcome")
    }

    /// The id of the request.
    pub fn request_id(&self) -> &str {
        self.header("x-request-id")
    }

    /// Returns a header, empty when missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A caller of one address.
#[derive(Clone)]
pub struct Caller {
    address: SocketAddr,
    caller_key: String,
    client: Client,
}

impl Caller {
    /// Creates a caller with the key of its account.
    pub fn new(address: SocketAddr, caller_key: &str) -> Self {
        Self { address, caller_key: caller_key.to_owned(), client: Client::default() }
    }

    /// Returns a caller of another address with the same key and connections.
    pub fn at(&self, address: SocketAddr) -> Self {
        Self { address, ..self.clone() }
    }

    /// Posts a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before any answer, or after the time limit.
    pub async fn post(&self, call: &Call) -> Result<Answer> {
        self.send(Method::POST, call).await
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before any answer, or after the time limit.
    pub async fn get(&self, path: &str) -> Result<Answer> {
        self.send(Method::GET, &Call { path: path.to_owned(), ..Call::default() }).await
    }

    async fn send(&self, method: Method, call: &Call) -> Result<Answer> {
        tokio::time::timeout(CALLER_TIMEOUT, self.exchange(method, call))
            .await
            .wrap_err("answer took too long")?
    }

    async fn exchange(&self, method: Method, call: &Call) -> Result<Answer> {
        let url = format!("http://{}{}", self.address, call.path);
        let mut builder = self.client.request(method, url.as_str());
        let headers = builder.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        headers.insert(
            "authorization",
            HeaderValue::from_str(&format!("Bearer {}", self.caller_key))?,
        );
        if let Some(key) = &call.idempotency_key {
            headers.insert("idempotency-key", HeaderValue::from_str(key)?);
        }
        for (name, value) in &call.headers {
            headers.insert(*name, HeaderValue::from_str(value)?);
        }
        let started = Instant::now();
        let response = builder.body(Body::from(call.body.clone())).send::<Body>().await?;
        let (head, body) = response.into_parts();
        let mut answer =
            Answer { status: head.status.as_u16(), headers: head.headers, ..Answer::default() };
        read_body(&mut answer, body, started).await;
        Ok(answer)
    }
}

async fn read_body(answer: &mut Answer, mut body: Body, started: Instant) {
    let is_stream = answer.header("content-type").starts_with("text/event-stream");
    let mut splitter = EventSplitter::default();
    let mut bytes = Vec::new();
    let mut last_token_at = started;
    let mut is_broken = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            is_broken = true;
            break;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        bytes.extend_from_slice(data);
        splitter.push(data);
        while let Some(event) = splitter.next_event() {
            read_event(answer, &event.data(), started, &mut last_token_at);
        }
    }
    if !is_stream {
        answer.first_token_time = started.elapsed();
        answer.is_whole = !is_broken;
        read_whole(answer, &bytes);
    }
    answer.body = Bytes::from(bytes);
}

fn read_event(answer: &mut Answer, data: &[u8], started: Instant, last_token_at: &mut Instant) {
    if data == DONE_DATA {
        answer.is_whole = true;
        return;
    }
    let Ok(part) = serde_json::from_slice::<Value>(data) else {
        return;
    };
    if let Some(text) = part["choices"][0]["delta"]["content"].as_str() {
        if answer.text.is_empty() {
            answer.first_token_time = started.elapsed();
        } else {
            answer.token_gaps.push(last_token_at.elapsed());
        }
        *last_token_at = Instant::now();
        answer.text.push_str(text);
    }
    if let Some(used_tokens) = part["usage"]["total_tokens"].as_u64() {
        answer.used_tokens = used_tokens;
    }
}

fn read_whole(answer: &mut Answer, bytes: &[u8]) {
    let Ok(whole) = serde_json::from_slice::<Value>(bytes) else {
        return;
    };
    if let Some(text) = whole["choices"][0]["message"]["content"].as_str() {
        answer.text = text.to_owned();
    }
    if let Some(used_tokens) = whole["usage"]["total_tokens"].as_u64() {
        answer.used_tokens = used_tokens;
    }
}
