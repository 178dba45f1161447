//! The state dump of a router process, documented in docs/ops/state.md.

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

/// The state dump of one router process.
#[derive(Debug, Serialize)]
pub struct ProcessState {
    /// The id of this VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The readiness step that the process has reached.
    pub readiness: ReadinessStep,
    /// Whether the process refuses new requests because it is shutting down.
    pub is_draining: bool,
    /// The number of requests in flight.
    pub in_flight_count: usize,
    /// The version of the active bundle, or 0 when there is none.
    pub bundle_version: BundleVersion,
    /// The digest of the active bundle.
    pub bundle_digest: Option<String>,
    /// The offset of the next ledger record to apply.
    pub ledger_next_offset: LogOffset,
    /// The escrow account of each budget that this VM owns.
    pub accounts: BTreeMap<BudgetId, EscrowAccount>,
    /// The number of request key entries that this VM owns.
    pub key_entry_count: usize,
    /// The backend servers as this VM sees them.
    pub backend_servers: Vec<ServerView>,
    /// The concurrency limit of each backend server, and whether the server is ejected.
    pub server_limits: BTreeMap<BackendServerId, ServerLimit>,
    /// The number of requests that wait for a backend server.
    pub waiting_count: usize,
    /// The other VMs as this VM sees them.
    pub members: Vec<MemberView>,
    /// The log streams that this VM reads and relays.
    pub streams: BTreeMap<String, StreamView>,
    /// The control messages that this VM sent and received, by kind.
    pub control_traffic: BTreeMap<&'static str, TrafficCount>,
    /// The number of violations of each invariant; all must stay 0.
    #[serde(rename = "promises")]
    pub invariant_violations: BTreeMap<&'static str, u64>,
    /// The newest decisions.
    pub decisions: Vec<Decision>,
}
