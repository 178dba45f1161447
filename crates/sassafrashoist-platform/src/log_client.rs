//! The client of the log service.

use std::time::Duration;

use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::http_client::{HttpRequestError, HttpResponse};
use crate::platform_client::PlatformClient;
use crate::wire::{AppendRequest, AppendResponse, RecordPage, TrimmedResponse};
use sassafrashoist_core::ids::LogOffset;

/// How long a long poll may take beyond its wait time before its response counts as lost.
const LONG_POLL_GRACE: Duration = Duration::from_secs(2);

/// Why an append failed.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The records were not appended.
    #[error("log service did not append the records: {0}")]
    NotAppended(String),
    /// The records may have been appended.
    #[error("append is in doubt: {0}")]
    InDoubt(String),
}

/// Why a read failed.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The offset is before the oldest retained record.
    #[error("records were trimmed up to offset {earliest_offset}")]
    Trimmed {
        /// The offset of the oldest retained record.
        earliest_offset: LogOffset,
    },
    /// The log service did not respond, or its response was not usable.
    #[error("log service is unavailable: {0}")]
    Unavailable(String),
}

/// The records to read and how long to wait for them.
#[derive(Debug, Clone, Copy)]
pub struct ReadRange {
    /// The first offset.
    pub from_offset: LogOffset,
    /// The maximum number of records.
    pub max_count: usize,
    /// How long to wait for the first record.
    pub wait: Duration,
}

impl PlatformClient {
    /// Appends records to a stream and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Fails with [`AppendError::InDoubt`] when the records may have been appended.
    pub async fn append(
        &self,
        stream: &str,
        payloads: Vec<Vec<u8>>,
    ) -> Result<LogOffset, AppendError> {
        let body = serde_json::to_vec(&AppendRequest { payloads })
            .map_err(|error| AppendError::NotAppended(error.to_string()))?;
        let path = format!("/streams/{stream}/records");
        let response = self.send(Method::POST, &path, body, self.timeout()).await.map_err(
            |error| match error {
                HttpRequestError::NotSent(_) => AppendError::NotAppended(error.to_string()),
                HttpRequestError::ResponseLost(..) => AppendError::InDoubt(error.to_string()),
            },
        )?;
        if response.status != StatusCode::OK {
            return Err(classify_append_failure(&response));
        }
        let appended: AppendResponse = serde_json::from_slice(&response.body)
            .map_err(|error| AppendError::InDoubt(error.to_string()))?;
        Ok(appended.first_offset)
    }

    /// Reads records of a stream; if there are none yet, waits for the first one.
    ///
    /// # Errors
    ///
    /// Fails when the record at the offset was trimmed or the log service is unavailable.
    pub async fn read(&self, stream: &str, range: ReadRange) -> Result<RecordPage, ReadError> {
        let path = format!(
            "/streams/{stream}/records?from={}&max={}&wait_ms={}",
            range.from_offset,
            range.max_count,
            range.wait.as_millis()
        );
        let timeout = range.wait + LONG_POLL_GRACE;
        let response = self
            .send(Method::GET, &path, Vec::new(), timeout)
            .await
            .map_err(|error| ReadError::Unavailable(error.to_string()))?;
        match response.status {
            StatusCode::OK => decode_response(&response),
            StatusCode::GONE => {
                let trimmed: TrimmedResponse = decode_response(&response)?;
                Err(ReadError::Trimmed { earliest_offset: trimmed.earliest_offset })
            }
            status => Err(ReadError::Unavailable(format!("status {status}"))),
        }
    }
}

fn classify_append_failure(response: &HttpResponse) -> AppendError {
    let reason = format!("status {}", response.status);
    if response.status.is_client_error() || response.status == StatusCode::SERVICE_UNAVAILABLE {
        AppendError::NotAppended(reason)
    } else {
        AppendError::InDoubt(reason)
    }
}

fn decode_response<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, ReadError> {
    serde_json::from_slice(&response.body)
        .map_err(|error| ReadError::Unavailable(error.to_string()))
}
