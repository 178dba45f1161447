//! A client of the log service that reconnects when its connection fails or becomes unresponsive.

use std::fmt::Display;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use http::header::HOST;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use sassafrashoist_adapter::log_calls::LogCall;
use sassafrashoist_adapter::log_responses::{
    ERA_HEADER, LogError, NewestPage, RecordBatch, decode_append, decode_newest, decode_read,
};
use sassafrashoist_core::gateway::read_patience::ReadPatience;
use sassafrashoist_core::ids::LogOffset;
use sassafrashoist_platform::response_framing::ResponseFraming;

use super::gateway_context::GatewayContext;
use super::http_connection::Connection;

/// How long a connection may take to open; the log service is one network hop away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the service may send nothing in response to an append. It does not grow after failures,
/// as that of a read does: what the holder of tokens may do depends on the outcome of the append.
const APPEND_IDLE_TIMEOUT: Duration = Duration::from_millis(700);

/// The longest response; several times the longest that the service is asked for.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The error when a call of the log service has no result.
#[derive(Debug, thiserror::Error)]
pub enum LogCallError {
    /// The service responded that the call was not executed, or its response cannot be decoded.
    #[error(transparent)]
    Response(#[from] LogError),
    /// The call was not sent, so it was not executed.
    #[error("{0}")]
    NotSent(String),
    /// No response came; the call may have been executed, or may still be.
    #[error("no response from the log service: {0}")]
    NoResponse(String),
    /// The service sent nothing for this time; the call may have been executed, or may still be.
    #[error("no response from the log service: nothing received within {0:?}")]
    TimedOut(Duration),
}

impl LogCallError {
    /// Returns whether the call may have been executed, or may still be.
    pub fn is_in_doubt(&self) -> bool {
        matches!(
            self,
            Self::NoResponse(_) | Self::TimedOut(_) | Self::Response(LogError::Malformed(_))
        )
    }
}

/// A complete response.
#[derive(Debug)]
struct LogResponse {
    status: u16,
    body: Bytes,
    /// The time from the call to the first part of the response.
    response_time: Duration,
}

/// A client of the log service, with one connection.
///
/// A timeout does not limit the time of a whole response, because a long one takes longer on a link
/// with little bandwidth.
#[derive(Debug)]
pub struct LogClient {
    context: Arc<GatewayContext>,
    connection: Option<Connection>,
    patience: ReadPatience,
    era: Option<u64>,
    has_lost_records: bool,
    reads_config: bool,
}

impl LogClient {
    /// Creates a client that connects on the first call.
    pub fn new(context: Arc<GatewayContext>) -> Self {
        Self {
            context,
            connection: None,
            patience: ReadPatience::default(),
            era: None,
            has_lost_records: false,
            reads_config: false,
        }
    }

    /// Makes this client tell with each part of a response that the configuration can be read.
    pub fn reading_config(self) -> Self {
        Self { reads_config: true, ..self }
    }

    /// Returns whether the log service has lost acknowledged records since the last call of this
    /// method, so that offsets may name other records than before.
    pub fn take_loss_of_records(&mut self) -> bool {
        std::mem::take(&mut self.has_lost_records)
    }

    /// Returns how often the log service has lost acknowledged records, by its last response; `None` if
    /// it does not say.
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Opens a connection unless there is one that has not ended: a call on one that has would be in
    /// doubt although it was never sent.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn connect(&mut self) -> Result<(), LogCallError> {
        if let Some(mut connection) = self.connection.take() {
            let is_ready = tokio::time::timeout(CONNECT_TIMEOUT, connection.is_ready()).await;
            if is_ready == Ok(true) {
                self.connection = Some(connection);
            } else {
                log::debug!("connection to the log service has ended; opening another");
            }
        }
        if self.connection.is_none() {
            let address = self.context.settings().log_service_address;
            let connection = Connection::open(address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| LogCallError::NotSent(error.to_string()))?;
            self.connection = Some(connection);
        }
        Ok(())
    }

    /// Records that a read failed before its call.
    pub fn record_failed_read(&mut self) {
        self.patience.record_failure();
    }

    /// Reads a page of the newest record of each key of a topic, after the key `after` or from the
    /// first key on.
    ///
    /// # Errors
    ///
    /// Fails if the page cannot be read.
    pub async fn read_newest_page(
        &mut self,
        topic: &str,
        after: Option<&str>,
    ) -> Result<NewestPage, LogCallError> {
        let response = self.call_read(LogCall::newest(topic, after), Duration::ZERO).await?;
        let page = decode_newest(response.status, &response.body)?;
        if page.skipped_count > 0 {
            log::warn!(
                topic = topic, entries = page.skipped_count;
                "entries of a topic skipped: their keys are no text"
            );
        }
        Ok(page)
    }

    /// Reads records from an offset on; the service waits up to `wait` if there are none yet.
    ///
    /// # Errors
    ///
    /// Fails if the records cannot be read.
    pub async fn read(
        &mut self,
        topic: &str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<RecordBatch, LogCallError> {
        let response = self.call_read(LogCall::read(topic, from, wait), wait).await?;
        Ok(decode_read(response.status, response.body, from)?)
    }

    /// Appends a record under a key if the topic ends at `at`; returns the new end.
    ///
    /// # Errors
    ///
    /// Fails if the record was not appended, or if that is unknown
    /// ([`LogCallError::is_in_doubt`]).
    pub async fn append_at(
        &mut self,
        topic: &str,
        at: LogOffset,
        key: &str,
        value: &[u8],
    ) -> Result<LogOffset, LogCallError> {
        let call = LogCall::append_at(topic, at, key, value);
        let response = self.call(call, Duration::ZERO, APPEND_IDLE_TIMEOUT).await?;
        Ok(decode_append(response.status, &response.body)?)
    }

    /// Appends a record under a key, wherever the topic ends.
    ///
    /// # Errors
    ///
    /// Fails if the record was not appended, or if that is unknown.
    pub async fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
    ) -> Result<LogOffset, LogCallError> {
        let call = LogCall::append(topic, key, value);
        let response = self.call(call, Duration::ZERO, APPEND_IDLE_TIMEOUT).await?;
        Ok(decode_append(response.status, &response.body)?)
    }

    /// Makes a call that reads; its timeout depends on the outcomes of earlier reads.
    async fn call_read(
        &mut self,
        call: LogCall,
        wait: Duration,
    ) -> Result<LogResponse, LogCallError> {
        let idle_timeout = self.patience.idle_timeout(self.context.known_vm_count());
        let result = self.call(call, wait, idle_timeout).await;
        match &result {
            Ok(response) if is_unavailable(response.status) => self.patience.record_failure(),
            Ok(response) => {
                self.patience.record_response(response.response_time.saturating_sub(wait));
            }
            Err(error) => {
                self.patience.record_failure();
                if matches!(error, LogCallError::TimedOut(_)) {
                    metrics::counter!("sassafrashoist_log_reads_given_up_total").increment(1);
                }
            }
        }
        result
    }

    fn record_era(&mut self, headers: &HeaderMap) {
        let era = headers.get(ERA_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(era) = era
            && let Some(earlier_era) = self.era.replace(era)
            && earlier_era != era
        {
            log::warn!(era = era; "log service has lost acknowledged records");
            self.has_lost_records = true;
        }
    }

    async fn call(
        &mut self,
        call: LogCall,
        wait: Duration,
        idle_timeout: Duration,
    ) -> Result<LogResponse, LogCallError> {
        metrics::counter!("sassafrashoist_log_calls_total").increment(1);
        self.connect().await?;
        let Some(mut connection) = self.connection.take() else {
            return Err(LogCallError::NotSent("no connection to the log service".to_owned()));
        };
        let address = self.context.settings().log_service_address;
        let request = Request::builder()
            .method(call.method)
            .uri(call.path_and_query)
            .header(HOST, address.to_string())
            .body(Full::new(call.body))
            .map_err(|error| LogCallError::NotSent(error.to_string()))?;
        // After a missing or partial response, the connection is not used for another call.
        let sent_at = Instant::now();
        let response = with_timeout(wait + idle_timeout, connection.send(request)).await?;
        let response_time = sent_at.elapsed();
        let status = response.status().as_u16();
        let shows_contact = self.reads_config && response.status().is_success();
        if shows_contact {
            self.context.record_config_contact();
        }
        let framing = ResponseFraming::of(&response);
        self.record_era(response.headers());
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        while let Some(frame) =
            with_timeout(idle_timeout, body.frame().map(Option::transpose)).await?
        {
            if let Some(data) = frame.data_ref() {
                received.extend_from_slice(data);
                if shows_contact {
                    self.context.record_config_contact();
                }
            }
            if received.len() > MAX_RESPONSE_BYTES {
                let reason = format!("response exceeds {MAX_RESPONSE_BYTES} bytes");
                return Err(LogCallError::NoResponse(reason));
            }
        }
        // Without a marked end, the connection has ended too, and the decoders detect a response
        // that is cut short.
        if framing.marks_end() {
            self.connection = Some(connection);
        }
        Ok(LogResponse { status, body: received.freeze(), response_time })
    }
}

/// Waits for one part of a response.
async fn with_timeout<T, E: Display>(
    timeout: Duration,
    part: impl Future<Output = Result<T, E>>,
) -> Result<T, LogCallError> {
    match tokio::time::timeout(timeout, part).await {
        Ok(result) => result.map_err(|error| LogCallError::NoResponse(error.to_string())),
        Err(_) => Err(LogCallError::TimedOut(timeout)),
    }
}

/// Returns whether the service refused a call because it is busy or down.
fn is_unavailable(status: u16) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS.as_u16()
        || status == StatusCode::SERVICE_UNAVAILABLE.as_u16()
}
