//! The one value that is passed down to every action of a router process.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use volo_http::client::Client;

use super::clock::{read_clock, start_incarnation};
use super::control_traffic::ControlTraffic;
use super::drain_gate::DrainGate;
use super::peer_clients::PeerClients;
use super::request_registry::RequestRegistry;
use super::settings::Settings;
use super::tables::Tables;
use sassafrashoist_core::decision_log::{Decision, DecisionKind};
use sassafrashoist_core::ids::{DataCentreId, Incarnation, VmId};
use sassafrashoist_core::invariants::{Breach, Invariants};
use sassafrashoist_core::rendezvous::choose_owner;
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_platform::platform_client::PlatformClient;

/// The one value that is passed down to every action of a router process.
pub struct RouterContext {
    /// The settings.
    pub settings: Settings,
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
            tables: Tables::new(&settings, incarnation),
            invariants: Invariants::new(report_breach),
            platform: PlatformClient::new(
                settings.platform_address,
                settings.data_centre_id.clone(),
            ),
            backends: Client::default(),
            traffic: ControlTraffic::default(),
            peers: PeerClients::new(&settings, incarnation),
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

    /// Returns the VM that owns a budget in a data centre.
    pub fn owner_vm(&self, data_centre_id: &DataCentreId, budget_id: &str) -> Option<VmId> {
        let is_own = *data_centre_id == self.settings.data_centre_id;
        let own = is_own.then_some(self.settings.vm_id.as_str());
        let candidates = self.peers.vms_of(data_centre_id).chain(own);
        choose_owner(budget_id, candidates).map(str::to_owned)
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

fn report_breach(breach: &Breach<'_>) {
    metrics::counter!("sassafrashoist_promise_breaches_total", "promise" => breach.promise.name())
        .increment(breach.amount);
    log::error!(
        promise = breach.promise.name(), subject = breach.subject, amount = breach.amount;
        "promise broken"
    );
}
