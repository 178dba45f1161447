//! The client of the log service.

use std::time::Duration;

use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::http_client::{HttpAnswer, HttpCallError};
use crate::platform_client::PlatformClient;
use crate::wire::{AppendBatch, AppendedBatch, RecordPage, TrimmedAnswer};
use sassafrashoist_core::ids::LogOffset;

/// Time beyond a long poll's own wait after which the answer counts as lost.
const POLL_GRACE: Duration = Duration::from_secs(2);

/// Why an append has no offset.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The log did not take it.
    #[error("log did not take the append: {0}")]
    NotAppended(String),
    /// The log may have taken it.
    #[error("append is in doubt: {0}")]
    InDoubt(String),
}

/// Why a read has no records.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The offset is older than the oldest record kept.
    #[error("records were trimmed up to offset {earliest_offset}")]
    Trimmed {
        /// The offset of the oldest record kept.
        earliest_offset: LogOffset,
    },
    /// The log did not answer.
    #[error("log is out of reach: {0}")]
    OutOfReach(String),
}

/// Where and how much to read.
#[derive(Debug, Clone, Copy)]
pub struct ReadRange {
    /// The first offset.
    pub from_offset: LogOffset,
    /// The most records.
    pub max_count: usize,
    /// How long to wait for the first record.
    pub wait: Duration,
}

impl PlatformClient {
    /// Appends records to a stream and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Fails with [`AppendError::InDoubt`] when the records may have been appended.
    pub async fn append(
        &self,
        stream: &str,
        payloads: Vec<Vec<u8>>,
    ) -> Result<LogOffset, AppendError> {
        let body = serde_json::to_vec(&AppendBatch { payloads })
            .map_err(|error| AppendError::NotAppended(error.to_string()))?;
        let path = format!("/streams/{stream}/records");
        let answer = self.send(Method::POST, &path, body, self.timeout()).await.map_err(
            |error| match error {
                HttpCallError::NotSent(_) => AppendError::NotAppended(error.to_string()),
                HttpCallError::AnswerLost(..) => AppendError::InDoubt(error.to_string()),
            },
        )?;
        if answer.status != StatusCode::OK {
            return Err(classify_refused_append(&answer));
        }
        let appended: AppendedBatch = serde_json::from_slice(&answer.body)
            .map_err(|error| AppendError::InDoubt(error.to_string()))?;
        Ok(appended.first_offset)
    }

    /// Reads records of a stream, waiting for the first if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails when the offset was trimmed or the log does not answer.
    pub async fn read(&self, stream: &str, range: ReadRange) -> Result<RecordPage, ReadError> {
        let path = format!(
            "/streams/{stream}/records?from={}&max={}&wait_ms={}",
            range.from_offset,
            range.max_count,
            range.wait.as_millis()
        );
        let timeout = range.wait + POLL_GRACE;
        let answer = self
            .send(Method::GET, &path, Vec::new(), timeout)
            .await
            .map_err(|error| ReadError::OutOfReach(error.to_string()))?;
        match answer.status {
            StatusCode::OK => decode_read(&answer),
            StatusCode::GONE => {
                let trimmed: TrimmedAnswer = decode_read(&answer)?;
                Err(ReadError::Trimmed { earliest_offset: trimmed.earliest_offset })
            }
            status => Err(ReadError::OutOfReach(format!("status {status}"))),
        }
    }
}

fn classify_refused_append(answer: &HttpAnswer) -> AppendError {
    let reason = format!("status {}", answer.status);
    if answer.status.is_client_error() || answer.status == StatusCode::SERVICE_UNAVAILABLE {
        AppendError::NotAppended(reason)
    } else {
        AppendError::InDoubt(reason)
    }
}

fn decode_read<T: DeserializeOwned>(answer: &HttpAnswer) -> Result<T, ReadError> {
    serde_json::from_slice(&answer.body).map_err(|error| ReadError::OutOfReach(error.to_string()))
}
