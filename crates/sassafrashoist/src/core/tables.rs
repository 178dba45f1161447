//! The tables that the tasks of the process share.
//!
//! Lock order, first to last. A task that holds one lock acquires only locks further down the list,
//! and no lock is held across an await:
//!
//! - `bundle_chain`
//! - `bundle`
//! - `ledger`
//! - `owner`
//! - `contacts`
//! - `admission`
//! - `routing`
//! - `membership`
//! - `relay`
//! - `retry_budgets`
//! - `quarantine`
//! - `decisions`

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use tokio::sync::Notify;

use sassafrashoist_bundle::bundle_chain::BundleChain;
use sassafrashoist_core::budgets::ledger::Ledger;
use sassafrashoist_core::budgets::shard::SHARD_COUNT;
use sassafrashoist_core::decision_log::DecisionLog;
use sassafrashoist_core::ids::{DataCentreId, Incarnation};
use sassafrashoist_core::membership::member_table::MemberTable;
use sassafrashoist_core::owner::shard_table::ShardTable;
use sassafrashoist_core::requests::quarantine::QuarantineTable;
use sassafrashoist_core::requests::retry_budget::RetryBudgets;
use sassafrashoist_core::routing::routing_table::RoutingTable;

use super::active_bundle::ActiveBundle;
use super::backend_dispatcher::BackendDispatcher;
use super::clock::read_clock;
use super::contact_table::ContactTable;
use super::readiness::ReadinessStep;
use super::relay_table::RelayTable;
use super::settings::Settings;

/// The number of decisions kept for state dumps and for explaining requests.
const MAX_DECISIONS: usize = 4_096;

/// The tables that the tasks of the process share.
#[derive(Debug)]
pub struct Tables {
    data_centre_id: DataCentreId,
    bundle: RwLock<Option<Arc<ActiveBundle>>>,
    bundle_chain: Mutex<BundleChain>,
    ledger: Mutex<LedgerTable>,
    owner: Mutex<ShardTable>,
    contacts: Mutex<ContactTable>,
    dispatcher: Arc<BackendDispatcher>,
    membership: Mutex<MemberTable>,
    relay: Mutex<RelayTable>,
    retry_budgets: Mutex<RetryBudgets>,
    quarantine: Mutex<QuarantineTable>,
    decisions: Mutex<DecisionLog>,
    /// Wakes the relay requests that wait for a new record.
    pub relay_arrived: Notify,
}

/// The ledger, and whether it has caught up with the log.
#[derive(Debug, Default)]
pub struct LedgerTable {
    /// The ledger as of the last record that was applied.
    pub ledger: Ledger,
    /// Whether the ledger has reached the end of the log at least once since the process started.
    pub is_caught_up: bool,
}

impl Tables {
    /// Creates empty tables.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let owner =
            ShardTable::new(settings.data_centre_id.clone(), settings.vm_id.clone(), incarnation);
        Self {
            data_centre_id: settings.data_centre_id.clone(),
            bundle: RwLock::new(None),
            bundle_chain: Mutex::new(BundleChain::new(settings.root_operators.clone())),
            ledger: Mutex::new(LedgerTable::default()),
            owner: Mutex::new(owner),
            contacts: Mutex::new(ContactTable::default()),
            dispatcher: BackendDispatcher::new(
                settings.data_centre_id.clone(),
                count_routers(settings),
                settings.routing_policy,
            ),
            membership: Mutex::new(build_members(settings, incarnation)),
            relay: Mutex::default(),
            retry_budgets: Mutex::new(RetryBudgets::default()),
            quarantine: Mutex::new(QuarantineTable::default()),
            decisions: Mutex::new(DecisionLog::new(MAX_DECISIONS)),
            relay_arrived: Notify::new(),
        }
    }

    /// Returns the active bundle.
    pub fn bundle(&self) -> Option<Arc<ActiveBundle>> {
        self.bundle.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Activates a bundle.
    pub fn set_bundle(&self, bundle: Arc<ActiveBundle>) {
        self.lock_owner().set_retry_windows(&bundle.retry_windows());
        *self.bundle.write().unwrap_or_else(PoisonError::into_inner) = Some(bundle);
    }

    /// Locks the bundle chain.
    pub fn lock_bundle_chain(&self) -> MutexGuard<'_, BundleChain> {
        lock(&self.bundle_chain)
    }

    /// Locks the ledger table.
    pub fn lock_ledger(&self) -> MutexGuard<'_, LedgerTable> {
        lock(&self.ledger)
    }

    /// Locks the table of this VM's shard replicas.
    pub fn lock_owner(&self) -> MutexGuard<'_, ShardTable> {
        lock(&self.owner)
    }

    /// Locks the shard reports of the other VMs of the data centre.
    pub fn lock_contacts(&self) -> MutexGuard<'_, ContactTable> {
        lock(&self.contacts)
    }

    /// Returns the dispatcher of backend servers. It holds the locks `admission` and `routing`.
    pub fn dispatcher(&self) -> &Arc<BackendDispatcher> {
        &self.dispatcher
    }

    /// Locks the routing table.
    pub fn lock_routing(&self) -> MutexGuard<'_, RoutingTable> {
        self.dispatcher.lock_routing()
    }

    /// Locks the member table.
    pub fn lock_membership(&self) -> MutexGuard<'_, MemberTable> {
        lock(&self.membership)
    }

    /// Locks the table of relayed streams.
    pub fn lock_relay(&self) -> MutexGuard<'_, RelayTable> {
        lock(&self.relay)
    }

    /// Locks the retry budgets.
    pub fn lock_retry_budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.retry_budgets)
    }

    /// Locks the quarantine of requests that are suspected of crashing backend servers.
    pub fn lock_quarantine(&self) -> MutexGuard<'_, QuarantineTable> {
        lock(&self.quarantine)
    }

    /// Locks the decision log.
    pub fn lock_decisions(&self) -> MutexGuard<'_, DecisionLog> {
        lock(&self.decisions)
    }

    /// Returns whether the ledger has a view for every shard of this data centre. A view assigns a
    /// shard to its primary and backup VM.
    fn has_all_views(&self) -> bool {
        let table = self.lock_ledger();
        table
            .ledger
            .views
            .get(&self.data_centre_id)
            .is_some_and(|shards| shards.len() == usize::from(SHARD_COUNT))
    }

    /// Returns the readiness step that the process has reached.
    pub fn readiness(&self) -> ReadinessStep {
        if self.bundle().is_none() {
            return ReadinessStep::WaitsForBundle;
        }
        if !self.lock_ledger().is_caught_up || !self.has_all_views() {
            return ReadinessStep::WaitsForLedger;
        }
        if !self.lock_membership().may_act(read_clock()) {
            return ReadinessStep::Paused;
        }
        ReadinessStep::Ready
    }
}

/// Counts the routers of this data centre, which share its backend servers.
fn count_routers(settings: &Settings) -> u32 {
    let own = &settings.data_centre_id;
    1 + settings.peers.iter().filter(|peer| peer.data_centre_id == *own).count() as u32
}

fn build_members(settings: &Settings, incarnation: Incarnation) -> MemberTable {
    let mut members = MemberTable::new(
        settings.vm_id.clone(),
        settings.data_centre_id.clone(),
        incarnation,
        settings.membership.clone(),
    );
    for peer in &settings.peers {
        members.add_peer(peer.vm_id.clone(), peer.data_centre_id.clone(), read_clock());
    }
    members
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
