//! The append-only streams of the log service.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use sassafrashoist_core::ids::LogOffset;
use sassafrashoist_platform::wire::{LogRecord, RecordPage};

/// The records of one stream.
#[derive(Debug, Default)]
struct LogStream {
    records: VecDeque<(Instant, LogRecord)>,
    end_offset: LogOffset,
}

/// All streams, with counters of their use.
#[derive(Debug, Default)]
pub struct LogStreams {
    streams: BTreeMap<String, LogStream>,
    append_request_count: u64,
    read_count: u64,
    read_bytes: u64,
}

impl LogStreams {
    /// Appends records and returns the offset of the first.
    pub fn append(&mut self, stream: &str, payloads: Vec<Vec<u8>>) -> LogOffset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let first_offset = stream.end_offset;
        for payload in payloads {
            let record = LogRecord { offset: stream.end_offset, payload };
            stream.records.push_back((Instant::now(), record));
            stream.end_offset += 1;
        }
        self.append_request_count += 1;
        first_offset
    }

    /// Reads records; the page is empty when there are none yet.
    ///
    /// # Errors
    ///
    /// Fails with the earliest offset in the stream when `from_offset` has been trimmed.
    pub fn read(
        &mut self,
        stream: &str,
        from_offset: LogOffset,
        max_count: usize,
    ) -> Result<RecordPage, LogOffset> {
        self.read_count += 1;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let earliest_offset =
            stream.records.front().map_or(stream.end_offset, |(_, record)| record.offset);
        if from_offset < earliest_offset {
            return Err(earliest_offset);
        }
        let skipped = from_offset.saturating_sub(earliest_offset) as usize;
        let records: Vec<LogRecord> = stream
            .records
            .iter()
            .skip(skipped)
            .take(max_count)
            .map(|(_, record)| record.clone())
            .collect();
        self.read_bytes += records.iter().map(|record| record.payload.len() as u64).sum::<u64>();
        Ok(RecordPage { records, earliest_offset, end_offset: stream.end_offset })
    }

    /// Drops records older than `age`.
    pub fn trim(&mut self, age: Duration) {
        for stream in self.streams.values_mut() {
            while stream.records.front().is_some_and(|(at, _)| at.elapsed() >= age) {
                stream.records.pop_front();
            }
        }
    }

    /// Returns the number of append requests that took effect.
    pub fn append_request_count(&self) -> u64 {
        self.append_request_count
    }

    /// Returns the payload bytes of all records read.
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes
    }

    /// Returns the number of reads.
    pub fn read_count(&self) -> u64 {
        self.read_count
    }
}
