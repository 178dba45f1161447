//! A buffer of the newest records of one log stream, which this VM relays to other VMs.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

use super::relay_messages::{RelayRequest, RelayResponse, RelayedRecord};
use sassafrashoist_core::ids::{LogOffset, Timestamp, VmId};
use sassafrashoist_platform::wire::RecordPage;

/// The maximum payload bytes buffered for one stream, unless a single record is larger.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;
/// The maximum payload bytes of one response, unless a single record is larger.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Records are not relayed when the last contact with the platform is older than this, except to a
/// VM that accepts stale records.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(2_500);

/// A buffer of the newest records of one log stream.
#[derive(Debug, Default)]
pub struct RelayStream {
    records: VecDeque<RelayedRecord>,
    buffered_bytes: usize,
    next_offset: LogOffset,
    earliest_offset: LogOffset,
    end_offset: LogOffset,
    contact_at: Option<Timestamp>,
    reader_vm_id: Option<VmId>,
}

/// The state of a relayed stream, as shown in state dumps.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StreamView {
    /// The VM that the last page was read from; `None` for the platform.
    pub reader_vm_id: Option<VmId>,
    /// The offset of the next record to read.
    pub next_offset: LogOffset,
    /// The number of records in the log that this VM has not read yet.
    pub lag_records: u64,
    /// The time since the last contact with the platform, direct or through another VM.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "unheard_ms")]
    pub contact_age: Option<Duration>,
    /// Whether the last contact with the platform is too old for records to be relayed.
    #[serde(rename = "is_quiet")]
    pub is_stale: bool,
    /// The buffered payload bytes.
    #[serde(rename = "kept_bytes")]
    pub buffered_bytes: usize,
}

impl RelayStream {
    /// Buffers the records of a page that was read at `from_offset`. A page that does not continue
    /// the buffered records replaces them.
    pub fn store(
        &mut self,
        from_offset: LogOffset,
        page: &RecordPage,
        reader_vm_id: Option<VmId>,
        contact_at: Timestamp,
    ) {
        if from_offset != self.next_offset {
            self.records.clear();
            self.buffered_bytes = 0;
            self.next_offset = from_offset;
        }
        for record in &page.records {
            self.buffered_bytes += record.payload.len();
            self.next_offset = record.offset + 1;
            self.records.push_back(RelayedRecord {
                offset: record.offset,
                payload: record.payload.clone(),
            });
        }
        while self.buffered_bytes > MAX_BUFFERED_BYTES && self.records.len() > 1 {
            if let Some(dropped) = self.records.pop_front() {
                self.buffered_bytes -= dropped.payload.len();
            }
        }
        self.earliest_offset = page.earliest_offset;
        self.end_offset = page.end_offset;
        self.contact_at = Some(contact_at);
        self.reader_vm_id = reader_vm_id;
    }

    /// Responds to a request from another VM.
    pub fn respond(&self, request: &RelayRequest, now: Timestamp) -> RelayResponse {
        let is_usable = |at: &Timestamp| request.accepts_stale || !is_stale(*at, now);
        let Some(contact_at) = self.contact_at.filter(is_usable) else {
            return RelayResponse::Stale;
        };
        let first_offset = self.records.front().map_or(self.next_offset, |record| record.offset);
        if request.from_offset < first_offset || request.from_offset > self.next_offset {
            return RelayResponse::NotHeld;
        }
        let mut response_bytes = 0;
        let records = self
            .records
            .iter()
            .skip_while(|record| record.offset < request.from_offset)
            .take(request.max_count as usize)
            .take_while(|record| {
                let is_first = response_bytes == 0;
                response_bytes += record.payload.len();
                is_first || response_bytes <= MAX_RESPONSE_BYTES
            })
            .cloned()
            .collect();
        RelayResponse::Page {
            records,
            earliest_offset: self.earliest_offset,
            end_offset: self.end_offset,
            age: now.saturating_sub(contact_at),
        }
    }

    /// Returns the state of the stream for state dumps.
    pub fn view(&self, now: Timestamp) -> StreamView {
        StreamView {
            reader_vm_id: self.reader_vm_id.clone(),
            next_offset: self.next_offset,
            lag_records: self.end_offset.saturating_sub(self.next_offset),
            contact_age: self.contact_at.map(|at| now.saturating_sub(at)),
            is_stale: self.contact_at.is_none_or(|at| is_stale(at, now)),
            buffered_bytes: self.buffered_bytes,
        }
    }
}

fn is_stale(contact_at: Timestamp, now: Timestamp) -> bool {
    now.saturating_sub(contact_at) > MAX_CONTACT_AGE
}
