//! Counters of the control messages that this VM sends and receives, by kind of call.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// A kind of control call between VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum ControlKind {
    /// `Fleet.Heartbeat`.
    Heartbeat,
    /// `Fleet.Relay`.
    Relay,
    /// `Fleet.Snapshot`.
    Snapshot,
}

impl ControlKind {
    /// All kinds, in the order of their counters.
    pub const ALL: [ControlKind; 3] =
        [ControlKind::Heartbeat, ControlKind::Relay, ControlKind::Snapshot];

    /// Returns the name used in metrics and state dumps.
    pub fn name(self) -> &'static str {
        match self {
            ControlKind::Heartbeat => "heartbeat",
            ControlKind::Relay => "relay",
            ControlKind::Snapshot => "snapshot",
        }
    }
}

/// Messages and payload bytes, sent and received together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCount {
    /// The number of messages.
    pub messages: u64,
    /// The sum of their payload sizes.
    pub payload_bytes: u64,
}

/// The control traffic counters of one process.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    messages: [AtomicU64; ControlKind::ALL.len()],
    payload_bytes: [AtomicU64; ControlKind::ALL.len()],
}

impl ControlTraffic {
    /// Counts one message, sent or received.
    pub fn count(&self, kind: ControlKind, payload_bytes: usize) {
        let payload_bytes = payload_bytes as u64;
        self.messages[kind as usize].fetch_add(1, Ordering::Relaxed);
        self.payload_bytes[kind as usize].fetch_add(payload_bytes, Ordering::Relaxed);
        metrics::counter!("sassafrashoist_control_messages_total", "kind" => kind.name())
            .increment(1);
        metrics::counter!("sassafrashoist_control_payload_bytes_total", "kind" => kind.name())
            .increment(payload_bytes);
    }

    /// Returns the counters of a kind.
    pub fn read(&self, kind: ControlKind) -> TrafficCount {
        TrafficCount {
            messages: self.messages[kind as usize].load(Ordering::Relaxed),
            payload_bytes: self.payload_bytes[kind as usize].load(Ordering::Relaxed),
        }
    }

    /// Returns the counters of all kinds by name.
    pub fn read_all(&self) -> BTreeMap<&'static str, TrafficCount> {
        ControlKind::ALL.into_iter().map(|kind| (kind.name(), self.read(kind))).collect()
    }
}
