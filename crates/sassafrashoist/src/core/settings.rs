//! The settings of a router process. docs/SETTINGS.md is their page.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use sassafrashoist_bundle::bundle::Operator;
use sassafrashoist_core::ids::{DataCentreId, VmId};
use sassafrashoist_core::membership::membership_timing::MembershipTiming;
use sassafrashoist_core::routing::policy::RoutingPolicy;

/// The settings of one router process.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators read state and metrics.
    pub admin_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// The platform.
    pub platform_address: SocketAddr,
    /// The other VMs of the system.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The operators who sign the first bundle.
    pub root_operators: Vec<Operator>,
    /// How log lines are written.
    #[serde(default)]
    pub log: LogSettings,
    /// How long a graceful shutdown waits for requests in progress.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_bound_ms", default = "default_drain_bound")]
    pub drain_bound: Duration,
    /// The times and bounds of membership.
    #[serde(default)]
    pub membership: MembershipTiming,
    /// Time between two snapshots of the bundle in the log; well below the time that the log keeps
    /// records.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "bundle_snapshot_interval_ms", default = "default_snapshot_interval")]
    pub bundle_snapshot_interval: Duration,
    /// How backend servers are chosen.
    #[serde(default)]
    pub routing_policy: RoutingPolicy,
}

/// Where a router process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

impl Settings {
    /// Creates settings with the default of every optional field.
    pub fn new(
        vm_id: VmId,
        data_centre_id: DataCentreId,
        addresses: ListenAddresses,
        platform_address: SocketAddr,
        root_operators: Vec<Operator>,
    ) -> Self {
        Self {
            vm_id,
            data_centre_id,
            caller_address: addresses.callers,
            admin_address: addresses.admin,
            peer_address: addresses.peers,
            platform_address,
            peers: Vec::new(),
            root_operators,
            log: LogSettings::default(),
            drain_bound: default_drain_bound(),
            membership: MembershipTiming::default(),
            bundle_snapshot_interval: default_snapshot_interval(),
            routing_policy: RoutingPolicy::default(),
        }
    }
}

/// Another VM of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
}

/// How log lines are written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Their form.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: LogLevel::Info }
    }
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Text,
}

/// The severity of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults only.
    Error,
    /// Faults and what may become one.
    Warn,
    /// Changes of state too.
    Info,
    /// Every decision too.
    Debug,
}

fn default_snapshot_interval() -> Duration {
    Duration::from_secs(600)
}

fn default_drain_bound() -> Duration {
    Duration::from_secs(30)
}
