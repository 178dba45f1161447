//! The newest records of one log stream, kept to be relayed to other VMs.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

use super::relay_messages::{RelayAnswer, RelayCall, RelayedRecord};
use sassafrashoist_core::ids::{LogOffset, Timestamp, VmId};
use sassafrashoist_platform::wire::RecordPage;

/// Payload bytes kept of one stream.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;
/// Payload bytes of one answer, unless a single record is larger.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Time without word from the platform after which this VM relays nothing.
const QUIET_BOUND: Duration = Duration::from_millis(2_500);

/// The newest records of one log stream.
#[derive(Debug, Default)]
pub struct RelayStream {
    records: VecDeque<RelayedRecord>,
    kept_bytes: usize,
    next_offset: LogOffset,
    earliest_offset: LogOffset,
    end_offset: LogOffset,
    heard_at: Option<Timestamp>,
    reader_vm_id: Option<VmId>,
}

/// A stream in a state dump.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StreamView {
    /// The VM that this one read from; none for the platform.
    pub reader_vm_id: Option<VmId>,
    /// The offset of the next record to read.
    pub next_offset: LogOffset,
    /// Records that the log held and this VM had not read yet.
    pub lag_records: u64,
    /// Time since the platform was last heard, directly or through another VM.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "unheard_ms")]
    pub unheard: Option<Duration>,
    /// Whether the platform has not been heard for so long that nothing is relayed.
    pub is_quiet: bool,
    /// Payload bytes kept to be relayed.
    pub kept_bytes: usize,
}

impl RelayStream {
    /// Keeps the records of a page that was read at `from_offset`.
    pub fn store(
        &mut self,
        from_offset: LogOffset,
        page: &RecordPage,
        reader_vm_id: Option<VmId>,
        heard_at: Timestamp,
    ) {
        if from_offset != self.next_offset {
            self.records.clear();
            self.kept_bytes = 0;
            self.next_offset = from_offset;
        }
        for record in &page.records {
            self.kept_bytes += record.payload.len();
            self.next_offset = record.offset + 1;
            self.records.push_back(RelayedRecord {
                offset: record.offset,
                payload: record.payload.clone(),
            });
        }
        while self.kept_bytes > MAX_KEPT_BYTES && self.records.len() > 1 {
            if let Some(dropped) = self.records.pop_front() {
                self.kept_bytes -= dropped.payload.len();
            }
        }
        self.earliest_offset = page.earliest_offset;
        self.end_offset = page.end_offset;
        self.heard_at = Some(heard_at);
        self.reader_vm_id = reader_vm_id;
    }

    /// Answers another VM.
    pub fn answer(&self, call: &RelayCall, now: Timestamp) -> RelayAnswer {
        let Some(heard_at) = self.heard_at.filter(|at| !is_quiet(*at, now)) else {
            return RelayAnswer::Quiet;
        };
        let first_offset = self.records.front().map_or(self.next_offset, |record| record.offset);
        if call.from_offset < first_offset || call.from_offset > self.next_offset {
            return RelayAnswer::NotHeld;
        }
        let mut answer_bytes = 0;
        let records = self
            .records
            .iter()
            .skip_while(|record| record.offset < call.from_offset)
            .take(call.max_count as usize)
            .take_while(|record| {
                let is_first = answer_bytes == 0;
                answer_bytes += record.payload.len();
                is_first || answer_bytes <= MAX_ANSWER_BYTES
            })
            .cloned()
            .collect();
        RelayAnswer::Page {
            records,
            earliest_offset: self.earliest_offset,
            end_offset: self.end_offset,
            age: now.saturating_sub(heard_at),
        }
    }

    /// Describes the stream for state dumps.
    pub fn view(&self, now: Timestamp) -> StreamView {
        StreamView {
            reader_vm_id: self.reader_vm_id.clone(),
            next_offset: self.next_offset,
            lag_records: self.end_offset.saturating_sub(self.next_offset),
            unheard: self.heard_at.map(|at| now.saturating_sub(at)),
            is_quiet: self.heard_at.is_none_or(|at| is_quiet(at, now)),
            kept_bytes: self.kept_bytes,
        }
    }
}

fn is_quiet(heard_at: Timestamp, now: Timestamp) -> bool {
    now.saturating_sub(heard_at) > QUIET_BOUND
}
