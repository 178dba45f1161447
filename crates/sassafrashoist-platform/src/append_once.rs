//! Appends a record and, if the response is lost, reads the log to find out whether the append took
//! effect.

use std::time::Duration;

use crate::log_client::{AppendError, ReadError, ReadRange};
use crate::platform_client::PlatformClient;
use sassafrashoist_core::ids::LogOffset;

/// The maximum number of records read at once in the search for a record whose append is in doubt.
const READ_BACK_PAGE_RECORDS: usize = 500;
/// How long a read waits for further records before the record counts as not appended.
const READ_BACK_WAIT: Duration = Duration::from_millis(200);

impl PlatformClient {
    /// Returns the offset that the next record of a stream will get.
    ///
    /// # Errors
    ///
    /// Fails when the log service is unavailable.
    pub async fn end_offset(&self, stream: &str) -> Result<LogOffset, ReadError> {
        let range = ReadRange { from_offset: LogOffset::MAX, max_count: 1, wait: Duration::ZERO };
        Ok(self.read(stream, range).await?.end_offset)
    }

    /// Appends one record. If the response is lost, reads the log to find out whether the append
    /// took effect; the append is not retried.
    ///
    /// `is_same` recognises the record by its id.
    ///
    /// # Errors
    ///
    /// Fails with [`AppendError::NotAppended`] when the record is not in the log, and with
    /// [`AppendError::InDoubt`] when the log cannot be read either.
    pub async fn append_once(
        &self,
        stream: &str,
        payload: Vec<u8>,
        is_same: impl Fn(&[u8]) -> bool,
    ) -> Result<LogOffset, AppendError> {
        let from_offset = self
            .end_offset(stream)
            .await
            .map_err(|error| AppendError::NotAppended(error.to_string()))?;
        let in_doubt = match self.append(stream, vec![payload]).await {
            Err(AppendError::InDoubt(reason)) => reason,
            outcome => return outcome,
        };
        log::warn!("append to stream {stream} is in doubt; reading the log to check: {in_doubt}");
        self.find_record(stream, from_offset, is_same).await
    }

    async fn find_record(
        &self,
        stream: &str,
        mut from_offset: LogOffset,
        is_same: impl Fn(&[u8]) -> bool,
    ) -> Result<LogOffset, AppendError> {
        loop {
            let range =
                ReadRange { from_offset, max_count: READ_BACK_PAGE_RECORDS, wait: READ_BACK_WAIT };
            let page = self
                .read(stream, range)
                .await
                .map_err(|error| AppendError::InDoubt(error.to_string()))?;
            if let Some(found) = page.records.iter().find(|record| is_same(&record.payload)) {
                return Ok(found.offset);
            }
            from_offset = match page.records.last() {
                Some(last) => last.offset + 1,
                None => return Err(AppendError::NotAppended("not found in the log".to_owned())),
            };
        }
    }
}
