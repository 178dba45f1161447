//! The datagrams that VMs send to each other.

use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::crash_report::CrashReport;
use serde::{Deserialize, Serialize};

use super::share_rejections::{BrittleEnd, ServerRejects};
use super::stream_origin_messages::StreamBegun;

/// The longest datagram; it fits into one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A datagram of one VM to another. It may be lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// A stream has just begun.
    StreamBegun(StreamBegun),
    /// A crash was just seen, or a suspect cleared.
    CrashReport(CrashReport),
    /// The digest of all crashes that the sender knows.
    CrashDigest(u64),
    /// A server that fails after a few rejections has just turned a request away.
    ServerRejects(ServerRejects),
    /// A server no longer says that it fails after a few rejections.
    BrittleEnd(BrittleEnd),
    /// The configuration that is in force at a VM that reads it from the log service. An
    /// [`OrdersAnnouncement`] follows behind it, which older builds ignore and do not send.
    ///
    /// [`OrdersAnnouncement`]: sassafrashoist_core::gateway::evacuations::OrdersAnnouncement
    ConfigAnnounced(ConfigAnnouncement),
}
