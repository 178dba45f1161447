//! The one value that is passed down to every action of a router process.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use volo_http::client::Client;

use super::account_gates::AccountGates;
use super::clock::{read_clock, start_incarnation};
use super::control_traffic::ControlTraffic;
use super::drain_gate::DrainGate;
use super::peer_clients::PeerClients;
use super::request_registry::RequestRegistry;
use super::settings::Settings;
use super::shard_turns::ShardTurns;
use super::tables::Tables;
use sassafrashoist_core::budgets::shard::shard_of;
use sassafrashoist_core::decision_log::{Decision, DecisionKind};
use sassafrashoist_core::ids::{DataCentreId, Incarnation, VmId};
use sassafrashoist_core::invariants::{Invariants, Violation};
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_platform::platform_client::PlatformClient;

/// The one value that is passed down to every action of a router process.
pub struct RouterContext {
    /// The settings.
    pub settings: Settings,
    /// The incarnation in which this process started, with empty memory; it never changes.
    pub process_incarnation: Incarnation,
    /// The tables that the workers share.
    pub tables: Tables,
    /// The counters that must stay 0.
    pub invariants: Invariants,
    /// The platform.
    pub platform: PlatformClient,
    /// Connections to backend servers.
    pub backends: Client,
    /// Counts what this VM sends and receives for control.
    pub traffic: ControlTraffic,
    /// Connections to the other VMs.
    pub peers: PeerClients,
    /// Whose turn it is to replicate or to look for tokens.
    pub shard_turns: ShardTurns,
    /// The limits of client accounts.
    pub account_gates: Arc<AccountGates>,
    /// Requests in progress.
    pub drain_gate: Arc<DrainGate>,
    /// Numbers requests without a caller's key.
    pub registry: RequestRegistry,
    /// Settlements that their callers do not wait for any more.
    pub settlements: TaskTracker,
    /// Stops every task of the process.
    pub cancel: CancellationToken,
}

impl RouterContext {
    /// Builds the context from checked settings.
    pub fn new(settings: Settings, cancel: CancellationToken) -> Arc<Self> {
        let incarnation = start_incarnation();
        Arc::new(Self {
            process_incarnation: incarnation,
            tables: Tables::new(&settings, incarnation),
            invariants: Invariants::new(report_breach),
            platform: PlatformClient::new(
                settings.platform_address,
                settings.data_centre_id.clone(),
            ),
            backends: Client::default(),
            traffic: ControlTraffic::default(),
            peers: PeerClients::new(&settings, incarnation),
            shard_turns: ShardTurns::default(),
            account_gates: Arc::default(),
            drain_gate: Arc::default(),
            registry: RequestRegistry::new(&settings.vm_id, incarnation),
            settlements: TaskTracker::new(),
            settings,
            cancel,
        })
    }

    /// Returns the incarnation in which this process acts; it grows when the process finds that
    /// others may have declared it gone.
    pub fn incarnation(&self) -> Incarnation {
        self.tables.lock_membership().incarnation()
    }

    /// Returns the VM that decides for a budget in a data centre, as the ledger names it.
    pub fn owner_vm(&self, data_centre_id: &DataCentreId, budget_id: &str) -> Option<VmId> {
        let table = self.tables.lock_ledger();
        let view = table.ledger.view(data_centre_id, shard_of(budget_id))?;
        Some(view.primary_vm_id.clone())
    }

    /// Records a decision and its reason.
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

fn report_breach(breach: &Violation<'_>) {
    metrics::counter!("sassafrashoist_promise_breaches_total", "promise" => breach.invariant.name())
        .increment(breach.amount);
    log::error!(
        promise = breach.invariant.name(), subject = breach.subject, amount = breach.amount;
        "promise broken"
    );
}
