//! A caller that sends requests and reads complete responses.

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
use sassafrashoist_platform::response_framing::ResponseFraming;

/// How long a caller waits for a complete response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that a caller sends.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    /// The path of the route.
    pub path: String,
    /// The body.
    pub body: String,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
}

/// A response that a caller has read.
#[derive(Debug, Clone, Default)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, byte for byte.
    pub body: Bytes,
    /// The text that the model generated.
    pub text: String,
    /// The total tokens that the engine reports as used.
    pub used_tokens: u64,
    /// Whether the response is known to be complete: a stream has its end marker, any other body
    /// was read to an end that its length or its last chunk marks.
    pub is_complete: bool,
    /// Whether the body was aborted.
    pub is_aborted: bool,
    /// Time from sending to the first token, or to the complete response when it is not streamed.
    pub time_to_first_token: Duration,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
}

impl CallerResponse {
    /// Whether the response is successful and complete.
    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// The number of the result code, 0 when missing.
    pub fn result_code(&self) -> u16 {
        self.header("x-result-code").parse().unwrap_or(0)
    }

    /// The outcome of the request that the response reports; empty on success.
    pub fn outcome(&self) -> &str {
        self.header("x-outcome")
    }

    /// The id of the request that the response reports.
    pub fn request_id(&self) -> &str {
        self.header("x-request-id")
    }

    /// Returns a header, empty when missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A caller that sends requests to one address.
#[derive(Clone)]
pub struct Caller {
    address: SocketAddr,
    caller_key: String,
    client: Client,
}

impl Caller {
    /// Creates a caller with the caller key of its account.
    pub fn new(address: SocketAddr, caller_key: &str) -> Self {
        Self { address, caller_key: caller_key.to_owned(), client: Client::default() }
    }

    /// Returns a caller for another address that shares the key and the connection pool.
    pub fn with_address(&self, address: SocketAddr) -> Self {
        Self { address, ..self.clone() }
    }

    /// Posts a request and reads its complete response.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the response starts, or after a timeout.
    pub async fn post(&self, request: &CallerRequest) -> Result<CallerResponse> {
        self.send(Method::POST, request).await
    }

    /// Sends a GET request to a path.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the response starts, or after a timeout.
    pub async fn get(&self, path: &str) -> Result<CallerResponse> {
        self.send(Method::GET, &CallerRequest { path: path.to_owned(), ..CallerRequest::default() })
            .await
    }

    async fn send(&self, method: Method, request: &CallerRequest) -> Result<CallerResponse> {
        tokio::time::timeout(CALLER_TIMEOUT, self.send_without_timeout(method, request))
            .await
            .wrap_err("response timed out")?
    }

    async fn send_without_timeout(
        &self,
        method: Method,
        request: &CallerRequest,
    ) -> Result<CallerResponse> {
        let url = format!("http://{}{}", self.address, request.path);
        let mut builder = self.client.request(method, url.as_str());
        let headers = builder.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        headers.insert(
            "authorization",
            HeaderValue::from_str(&format!("Bearer {}", self.caller_key))?,
        );
        if let Some(key) = &request.idempotency_key {
            headers.insert("idempotency-key", HeaderValue::from_str(key)?);
        }
        for (name, value) in &request.headers {
            headers.insert(*name, HeaderValue::from_str(value)?);
        }
        let started = Instant::now();
        let incoming = builder.body(Body::from(request.body.clone())).send::<Body>().await?;
        let framing = ResponseFraming::of(&incoming);
        let (head, body) = incoming.into_parts();
        let mut response = CallerResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            ..CallerResponse::default()
        };
        read_body(&mut response, framing, body, started).await;
        Ok(response)
    }
}

async fn read_body(
    response: &mut CallerResponse,
    framing: ResponseFraming,
    mut body: Body,
    started: Instant,
) {
    let is_stream = response.header("content-type").starts_with("text/event-stream");
    let mut splitter = EventSplitter::default();
    let mut bytes = Vec::new();
    let mut previous_token_at = started;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            response.is_aborted = true;
            break;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        bytes.extend_from_slice(data);
        splitter.push(data);
        while let Some(event) = splitter.next_event() {
            apply_event(response, &event.data(), started, &mut previous_token_at);
        }
    }
    if !is_stream {
        response.time_to_first_token = started.elapsed();
        response.is_complete = !response.is_aborted && framing.marks_end();
        apply_body(response, &bytes);
    }
    response.body = Bytes::from(bytes);
}

fn apply_event(
    response: &mut CallerResponse,
    data: &[u8],
    started: Instant,
    previous_token_at: &mut Instant,
) {
    if data == DONE_DATA {
        response.is_complete = true;
        return;
    }
    let Ok(chunk) = serde_json::from_slice::<Value>(data) else {
        return;
    };
    if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
        if response.text.is_empty() {
            response.time_to_first_token = started.elapsed();
        } else {
            response.token_gaps.push(previous_token_at.elapsed());
        }
        *previous_token_at = Instant::now();
        response.text.push_str(text);
    }
    if let Some(used_tokens) = chunk["usage"]["total_tokens"].as_u64() {
        response.used_tokens = used_tokens;
    }
}

fn apply_body(response: &mut CallerResponse, bytes: &[u8]) {
    let Ok(parsed) = serde_json::from_slice::<Value>(bytes) else {
        return;
    };
    if let Some(text) = parsed["choices"][0]["message"]["content"].as_str() {
        response.text = text.to_owned();
    }
    if let Some(used_tokens) = parsed["usage"]["total_tokens"].as_u64() {
        response.used_tokens = used_tokens;
    }
}
