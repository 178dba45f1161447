//! The shared state that every operation of a router process receives.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use volo_http::client::Client;

use super::account_limiters::AccountLimiters;
use super::clock::{new_incarnation, read_clock};
use super::control_traffic::ControlTraffic;
use super::drain_gate::DrainGate;
use super::peer_clients::PeerClients;
use super::request_registry::RequestRegistry;
use super::settings::Settings;
use super::shard_locks::ShardLocks;
use super::tables::Tables;
use sassafrashoist_core::budgets::shard::shard_of;
use sassafrashoist_core::decision_log::{Decision, DecisionKind};
use sassafrashoist_core::ids::{DataCentreId, Incarnation, VmId};
use sassafrashoist_core::invariants::{Invariants, Violation};
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_platform::platform_client::PlatformClient;

/// The shared state that every operation of a router process receives.
pub struct RouterContext {
    /// The settings of the process.
    pub settings: Settings,
    /// The incarnation in which this process started, with empty memory. It never changes, unlike
    /// [`RouterContext::incarnation`].
    pub process_incarnation: Incarnation,
    /// The tables that the tasks share.
    pub tables: Tables,
    /// The counters of invariant violations, which must stay 0.
    pub invariants: Invariants,
    /// The client of the platform.
    pub platform: PlatformClient,
    /// The HTTP client for backend servers.
    pub backends: Client,
    /// The counters of control messages.
    pub traffic: ControlTraffic,
    /// The clients of the other VMs.
    pub peers: PeerClients,
    /// The locks that serialise replication and token searches per shard.
    pub shard_locks: ShardLocks,
    /// The limits of client accounts.
    pub account_limiters: Arc<AccountLimiters>,
    /// Counts requests in flight and refuses new ones during shutdown.
    pub drain_gate: Arc<DrainGate>,
    /// Generates request keys and tracks running requests.
    pub registry: RequestRegistry,
    /// Settlements that run in the background because their callers no longer wait.
    pub settlements: TaskTracker,
    /// Stops every task of the process when it is cancelled.
    pub cancel: CancellationToken,
}

impl RouterContext {
    /// Builds the context from validated settings.
    pub fn new(settings: Settings, cancel: CancellationToken) -> Arc<Self> {
        let incarnation = new_incarnation();
        Arc::new(Self {
            process_incarnation: incarnation,
            tables: Tables::new(&settings, incarnation),
            invariants: Invariants::new(report_violation),
            platform: PlatformClient::new(
                settings.platform_address,
                settings.data_centre_id.clone(),
            ),
            backends: Client::default(),
            traffic: ControlTraffic::default(),
            peers: PeerClients::new(&settings, incarnation),
            shard_locks: ShardLocks::default(),
            account_limiters: Arc::default(),
            drain_gate: Arc::default(),
            registry: RequestRegistry::new(&settings.vm_id, incarnation),
            settlements: TaskTracker::new(),
            settings,
            cancel,
        })
    }

    /// Returns the current incarnation of this process. It increases when the process detects that
    /// other VMs may have declared it gone.
    pub fn incarnation(&self) -> Incarnation {
        self.tables.lock_membership().incarnation()
    }

    /// Returns the VM that owns a budget in a data centre, according to the ledger.
    pub fn owner_vm(&self, data_centre_id: &DataCentreId, budget_id: &str) -> Option<VmId> {
        let table = self.tables.lock_ledger();
        let view = table.ledger.view(data_centre_id, shard_of(budget_id))?;
        Some(view.primary_vm_id.clone())
    }

    /// Logs a decision with its reason and adds it to the decision log.
    pub fn record_decision(
        &self,
        key: &str,
        kind: DecisionKind,
        code: ResultCode,
        reason: impl Into<String>,
    ) {
        let bundle_version = self.tables.bundle().map_or(0, |bundle| bundle.version());
        let decision = Decision {
            at: read_clock(),
            vm_id: self.settings.vm_id.clone(),
            bundle_version,
            key: key.to_owned(),
            kind,
            code,
            reason: reason.into(),
        };
        log::debug!(key = decision.key, code = code.number(); "{}", decision.reason);
        self.tables.lock_decisions().record(decision);
    }
}

fn report_violation(violation: &Violation<'_>) {
    metrics::counter!("sassafrashoist_promise_breaches_total", "promise" => violation.invariant.name())
        .increment(violation.amount);
    log::error!(
        promise = violation.invariant.name(), subject = violation.subject, amount = violation.amount;
        "promise broken"
    );
}
