//! A client of the log service that reconnects when its connection fails or becomes unresponsive.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use http::header::HOST;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use sassafrashoist_adapter::log_calls::LogCall;
use sassafrashoist_adapter::log_responses::{
    ERA_HEADER, LogError, NewestPage, RecordBatch, decode_append, decode_newest, decode_read,
};
use sassafrashoist_core::ids::LogOffset;
use sassafrashoist_platform::response_framing::ResponseFraming;

use super::gateway_context::GatewayContext;
use super::http_connection::Connection;

/// How long a connection may take to open; the log service is one network hop away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the service may send nothing, in addition to the time that a call lets it wait: 50
/// times the usual response time. It does not limit the time of a whole response, because a long
/// one takes longer on a link with little bandwidth.
const IDLE_TIMEOUT: Duration = Duration::from_millis(700);

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
}

impl LogCallError {
    /// Returns whether the call may have been executed, or may still be.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::NoResponse(_) | Self::Response(LogError::Malformed(_)))
    }
}

/// A client of the log service, with one connection.
#[derive(Debug)]
pub struct LogClient {
    context: Arc<GatewayContext>,
    connection: Option<Connection>,
    era: Option<u64>,
    has_lost_records: bool,
}

impl LogClient {
    /// Creates a client that connects on the first call.
    pub fn new(context: Arc<GatewayContext>) -> Self {
        Self { context, connection: None, era: None, has_lost_records: false }
    }

    /// Returns whether the log service has lost acknowledged records since the last call of this
    /// method, so that offsets may name other records than before.
    pub fn take_loss_of_records(&mut self) -> bool {
        std::mem::take(&mut self.has_lost_records)
    }

    /// Reads the newest record of each key of a topic; further reads start at `end` of the result.
    ///
    /// # Errors
    ///
    /// Fails if a page cannot be read.
    pub async fn read_newest(&mut self, topic: &str) -> Result<NewestPage, LogCallError> {
        let mut all = self.read_newest_page(topic, None).await?;
        while all.has_more {
            let last_key = all.records.last().map(|record| record.key.clone());
            let page = self.read_newest_page(topic, last_key.as_deref()).await?;
            all.has_more = page.has_more && !page.records.is_empty();
            all.records.extend(page.records);
        }
        Ok(all)
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
        let (status, body) = self.call(LogCall::read(topic, from, wait), wait).await?;
        Ok(decode_read(status, body, from)?)
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
        let (status, body) = self.call(call, Duration::ZERO).await?;
        Ok(decode_append(status, &body)?)
    }

    async fn read_newest_page(
        &mut self,
        topic: &str,
        after: Option<&str>,
    ) -> Result<NewestPage, LogCallError> {
        let (status, body) = self.call(LogCall::newest(topic, after), Duration::ZERO).await?;
        let page = decode_newest(status, &body)?;
        if page.skipped_count > 0 {
            log::warn!(
                topic = topic, entries = page.skipped_count;
                "entries of a topic skipped: their keys are no text"
            );
        }
        Ok(page)
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

    /// Returns the connection of the last call, unless it has ended since then: a call on it would be
    /// in doubt although it was never sent.
    async fn take_open_connection(&mut self) -> Option<Connection> {
        let mut connection = self.connection.take()?;
        let is_ready = tokio::time::timeout(CONNECT_TIMEOUT, connection.is_ready()).await;
        if is_ready == Ok(true) {
            return Some(connection);
        }
        log::debug!("connection to the log service has ended; opening another");
        None
    }

    async fn call(&mut self, call: LogCall, wait: Duration) -> Result<(u16, Bytes), LogCallError> {
        metrics::counter!("sassafrashoist_log_calls_total").increment(1);
        let address = self.context.settings().log_service_address;
        let mut connection = match self.take_open_connection().await {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| LogCallError::NotSent(error.to_string()))?,
        };
        let request = Request::builder()
            .method(call.method)
            .uri(call.path_and_query)
            .header(HOST, address.to_string())
            .body(Full::new(call.body))
            .map_err(|error| LogCallError::NotSent(error.to_string()))?;
        // After a missing or partial response, the connection is not used for another call.
        let response = with_timeout(wait + IDLE_TIMEOUT, connection.send(request)).await?;
        let status = response.status().as_u16();
        let framing = ResponseFraming::of(&response);
        self.record_era(response.headers());
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        while let Some(frame) =
            with_timeout(IDLE_TIMEOUT, body.frame().map(Option::transpose)).await?
        {
            if let Some(data) = frame.data_ref() {
                received.extend_from_slice(data);
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
        Ok((status, received.freeze()))
    }
}

/// Waits for one part of a response.
async fn with_timeout<T, E: Display>(
    timeout: Duration,
    part: impl Future<Output = Result<T, E>>,
) -> Result<T, LogCallError> {
    match tokio::time::timeout(timeout, part).await {
        Ok(result) => result.map_err(|error| LogCallError::NoResponse(error.to_string())),
        Err(_) => Err(LogCallError::NoResponse(format!("nothing received within {timeout:?}"))),
    }
}
