//! The settings of a router process, documented in docs/SETTINGS.md.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use sassafrashoist_bundle::bundle::Operator;
use sassafrashoist_core::budgets::policy::BudgetPolicy;
use sassafrashoist_core::ids::{DataCentreId, VmId};
use sassafrashoist_core::membership::membership_timing::MembershipTiming;
use sassafrashoist_core::routing::policy::RoutingPolicy;

/// The settings of one router process.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The id of this VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The address that serves state and metrics to operators.
    pub admin_address: SocketAddr,
    /// The address on which other VMs connect.
    pub peer_address: SocketAddr,
    /// The address of the platform.
    pub platform_address: SocketAddr,
    /// The other VMs of the fleet.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The operators who sign the first bundle.
    pub root_operators: Vec<Operator>,
    /// The format and level of log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// How long a graceful shutdown waits for requests in flight.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_bound_ms", default = "default_drain_timeout")]
    pub drain_timeout: Duration,
    /// The intervals, timeouts and limits of membership.
    #[serde(default)]
    pub membership: MembershipTiming,
    /// The interval between snapshots of the bundle in the log. It must be well below the retention
    /// time of the log.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "bundle_snapshot_interval_ms", default = "default_snapshot_interval")]
    pub bundle_snapshot_interval: Duration,
    /// The policy that chooses backend servers.
    #[serde(default)]
    pub routing_policy: RoutingPolicy,
    /// The policy that distributes budgets among data centres.
    #[serde(default)]
    pub budget_policy: BudgetPolicy,
}

/// The addresses on which a router process listens.
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
    /// Creates settings with the default for every optional field.
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
            drain_timeout: default_drain_timeout(),
            membership: MembershipTiming::default(),
            bundle_snapshot_interval: default_snapshot_interval(),
            routing_policy: RoutingPolicy::default(),
            budget_policy: BudgetPolicy::default(),
        }
    }
}

/// Another VM of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The id of the VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// The address on which it listens for other VMs.
    pub address: SocketAddr,
}

/// The format and level of log lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: LogLevel::Info }
    }
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// The severity of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// State changes as well.
    Info,
    /// Every decision as well.
    Debug,
}

fn default_snapshot_interval() -> Duration {
    Duration::from_secs(600)
}

fn default_drain_timeout() -> Duration {
    Duration::from_secs(30)
}
