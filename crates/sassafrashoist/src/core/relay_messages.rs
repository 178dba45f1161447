//! The messages of `Fleet.Relay`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use sassafrashoist_core::ids::LogOffset;

/// Asks a VM for records of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCall {
    /// The stream.
    pub stream: String,
    /// The first offset.
    pub from_offset: LogOffset,
    /// The most records.
    pub max_count: u32,
    /// How long to wait for the first record.
    pub wait: Duration,
}

/// A record on its way from VM to VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// Its content.
    pub payload: Vec<u8>,
}

/// The answer of `Fleet.Relay`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// The records; none when there is no newer one.
    Page {
        /// The records, in order.
        records: Vec<RelayedRecord>,
        /// The offset of the oldest record that the log keeps.
        earliest_offset: LogOffset,
        /// The offset that the next append will get.
        end_offset: LogOffset,
        /// Time since the platform said so.
        age: Duration,
    },
    /// The VM does not hold these records; read the platform.
    NotHeld,
    /// The VM has not heard from the platform lately; ask another.
    Quiet,
}
