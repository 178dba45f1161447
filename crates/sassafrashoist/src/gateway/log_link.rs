//! A connection to the log service that is replaced when it fails or falls silent.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use http::Request;
use http::header::HOST;
use http_body_util::{BodyExt, Full};
use sassafrashoist_adapter::log_calls::LogCall;
use sassafrashoist_adapter::log_responses::{
    LogError, NewestPage, RecordBatch, decode_append, decode_newest, decode_read,
};
use sassafrashoist_core::ids::LogOffset;

use super::gateway_context::GatewayContext;
use super::http_exchange::Connection;

/// How long a connection may take to open; the service is one hop away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the service may send nothing beyond the time it was asked to wait: 50 times the usual
/// answer's time. A long answer over a narrow link takes longer as a whole.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a call of the log service has no result.
#[derive(Debug, thiserror::Error)]
pub enum LogCallError {
    /// The service answered that it was not done, or with what cannot be read.
    #[error(transparent)]
    Answered(#[from] LogError),
    /// The service was not reached; nothing was done.
    #[error("{0}")]
    NotSent(String),
    /// No answer came; the call may have been executed, or may be later.
    #[error("no answer from the log service: {0}")]
    Unanswered(String),
}

impl LogCallError {
    /// Returns whether the call may have been executed, or may be later.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::Unanswered(_) | Self::Answered(LogError::Malformed(_)))
    }
}

/// A connection to the log service.
#[derive(Debug)]
pub struct LogLink {
    context: Arc<GatewayContext>,
    connection: Option<Connection>,
}

impl LogLink {
    /// Creates a link; it connects with the first call.
    pub fn new(context: Arc<GatewayContext>) -> Self {
        Self { context, connection: None }
    }

    /// Reads all newest records of a topic; `end` of the result is where to read on from.
    ///
    /// # Errors
    ///
    /// Fails when a page cannot be had.
    pub async fn newest(&mut self, topic: &str) -> Result<NewestPage, LogCallError> {
        let mut all = self.newest_page(topic, None).await?;
        while all.has_more {
            let last_key = all.records.last().map(|record| record.key.clone());
            let page = self.newest_page(topic, last_key.as_deref()).await?;
            all.has_more = page.has_more && !page.records.is_empty();
            all.records.extend(page.records);
        }
        Ok(all)
    }

    /// Reads records from an offset; waits for one up to `wait`.
    ///
    /// # Errors
    ///
    /// Fails when they cannot be had.
    pub async fn read(
        &mut self,
        topic: &str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<RecordBatch, LogCallError> {
        let (status, body) = self.call(LogCall::read(topic, from, wait), wait).await?;
        Ok(decode_read(status, body, from)?)
    }

    /// Appends a record under a key if the topic ends at `at`; returns where it ends then.
    ///
    /// # Errors
    ///
    /// Fails when the record was not appended, or may have been
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

    async fn newest_page(
        &mut self,
        topic: &str,
        after: Option<&str>,
    ) -> Result<NewestPage, LogCallError> {
        let (status, body) = self.call(LogCall::newest(topic, after), Duration::ZERO).await?;
        Ok(decode_newest(status, &body)?)
    }

    async fn call(&mut self, call: LogCall, wait: Duration) -> Result<(u16, Bytes), LogCallError> {
        metrics::counter!("sassafrashoist_log_calls_total").increment(1);
        let address = self.context.settings().log_service_address;
        let mut connection = match self.connection.take() {
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
        // A connection on which an answer is lost never carries another one.
        let response = within(wait + SILENCE_TIMEOUT, connection.send(request)).await?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        while let Some(frame) = within(SILENCE_TIMEOUT, body.frame().map(Option::transpose)).await?
        {
            if let Some(data) = frame.data_ref() {
                received.extend_from_slice(data);
            }
        }
        self.connection = Some(connection);
        Ok((status, received.freeze()))
    }
}

/// Waits for one part of an answer.
async fn within<T, E: Display>(
    timeout: Duration,
    part: impl Future<Output = Result<T, E>>,
) -> Result<T, LogCallError> {
    match tokio::time::timeout(timeout, part).await {
        Ok(result) => result.map_err(|error| LogCallError::Unanswered(error.to_string())),
        Err(_) => Err(LogCallError::Unanswered(format!("nothing in {timeout:?}"))),
    }
}
