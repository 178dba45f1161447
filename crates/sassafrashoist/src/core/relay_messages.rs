//! The messages of `Fleet.Relay`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use sassafrashoist_core::ids::LogOffset;

/// Requests records of a stream from another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The name of the stream.
    pub stream: String,
    /// The offset of the first record to return.
    pub from_offset: LogOffset,
    /// The maximum number of records to return.
    pub max_count: u32,
    /// How long to wait for a record at that offset.
    pub wait: Duration,
    /// Whether to return records even if the responding VM has had no recent contact with the
    /// platform, because the requesting VM cannot reach the platform either.
    pub accepts_stale: bool,
}

/// A log record that one VM relays to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRecord {
    /// The offset in the stream.
    pub offset: LogOffset,
    /// The content of the record.
    pub payload: Vec<u8>,
}

/// The response of `Fleet.Relay`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayResponse {
    /// The records from the requested offset on; none when there is no newer record.
    Page {
        /// The records, in order.
        records: Vec<RelayedRecord>,
        /// The offset of the oldest record that the log retains.
        earliest_offset: LogOffset,
        /// The offset that the next append will get.
        end_offset: LogOffset,
        /// The time since the platform reported these offsets.
        age: Duration,
    },
    /// The VM does not hold these records; they must be read from the platform.
    NotHeld,
    /// The VM has had no recent contact with the platform; the request may be sent to another VM.
    #[serde(rename = "Quiet")]
    Stale,
}
