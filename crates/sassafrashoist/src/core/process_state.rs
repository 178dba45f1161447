//! The dump of a process's state. docs/ops/state.md is its page.

use std::collections::BTreeMap;

use serde::Serialize;

use super::control_traffic::TrafficCount;
use super::readiness::ReadinessStep;
use super::relay_stream::StreamView;
use sassafrashoist_core::budgets::escrow_account::EscrowAccount;
use sassafrashoist_core::decision_log::Decision;
use sassafrashoist_core::ids::{
    BackendServerId, BudgetId, BundleVersion, DataCentreId, Incarnation, LogOffset, VmId,
};
use sassafrashoist_core::membership::member::MemberView;
use sassafrashoist_core::routing::server_entry::ServerLimit;
use sassafrashoist_core::routing::server_view::ServerView;

/// The state of one process.
#[derive(Debug, Serialize)]
pub struct ProcessState {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The step that its start has reached.
    pub readiness: ReadinessStep,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// Requests in progress.
    pub in_flight_count: usize,
    /// The bundle in force, 0 for none.
    pub bundle_version: BundleVersion,
    /// The digest of the bundle in force.
    pub bundle_digest: Option<String>,
    /// The offset of the next ledger record to fold.
    pub ledger_next_offset: LogOffset,
    /// What this VM owns of each budget.
    pub accounts: BTreeMap<BudgetId, EscrowAccount>,
    /// The number of request keys that this VM owns.
    pub key_entry_count: usize,
    /// The backend servers as this VM sees them.
    pub backend_servers: Vec<ServerView>,
    /// How much this VM lets each backend server run, and whether it is ejected.
    pub server_limits: BTreeMap<BackendServerId, ServerLimit>,
    /// Requests that wait for a backend server.
    pub waiting_count: usize,
    /// The other VMs as this VM sees them.
    pub members: Vec<MemberView>,
    /// The log streams that this VM follows and relays.
    pub streams: BTreeMap<String, StreamView>,
    /// What this VM sent and received for control, by kind.
    pub control_traffic: BTreeMap<&'static str, TrafficCount>,
    /// The counters that must stay 0.
    pub promises: BTreeMap<&'static str, u64>,
    /// The newest decisions.
    pub decisions: Vec<Decision>,
}
