//! The tables that the workers share.
//!
//! Lock order, first to last; a worker that holds one lock takes only locks further down, and no lock
//! is held over an await:
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

/// Decisions kept for state dumps and explanations.
const MAX_DECISIONS: usize = 4_096;

/// The tables that the workers share.
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
    /// Wakes the calls that wait for a record to relay.
    pub relay_arrived: Notify,
}

/// The ledger and whether it was read up to the log's end once.
#[derive(Debug, Default)]
pub struct LedgerTable {
    /// The fold.
    pub ledger: Ledger,
    /// Whether the fold has reached the log's end since the start.
    pub is_established: bool,
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

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<Arc<ActiveBundle>> {
        self.bundle.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a bundle in force.
    pub fn set_bundle(&self, bundle: Arc<ActiveBundle>) {
        self.lock_owner().set_retry_windows(&bundle.retry_windows());
        *self.bundle.write().unwrap_or_else(PoisonError::into_inner) = Some(bundle);
    }

    /// Locks the chain of bundles.
    pub fn lock_bundle_chain(&self) -> MutexGuard<'_, BundleChain> {
        lock(&self.bundle_chain)
    }

    /// Locks the ledger.
    pub fn lock_ledger(&self) -> MutexGuard<'_, LedgerTable> {
        lock(&self.ledger)
    }

    /// Locks the owner's table.
    pub fn lock_owner(&self) -> MutexGuard<'_, ShardTable> {
        lock(&self.owner)
    }

    /// Locks what is known of the other VMs of the data centre.
    pub fn lock_contacts(&self) -> MutexGuard<'_, ContactTable> {
        lock(&self.contacts)
    }

    /// Returns what hands out places on backend servers; its tables are `admission` and `routing`.
    pub fn dispatcher(&self) -> &Arc<BackendDispatcher> {
        &self.dispatcher
    }

    /// Locks the routing table.
    pub fn lock_routing(&self) -> MutexGuard<'_, RoutingTable> {
        self.dispatcher.lock_routing()
    }

    /// Locks the table of members.
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

    /// Locks what is known of requests that crash backend servers.
    pub fn lock_quarantine(&self) -> MutexGuard<'_, QuarantineTable> {
        lock(&self.quarantine)
    }

    /// Locks the decision log.
    pub fn lock_decisions(&self) -> MutexGuard<'_, DecisionLog> {
        lock(&self.decisions)
    }

    /// Returns whether each shard of this data centre has its VMs.
    fn has_all_views(&self) -> bool {
        let table = self.lock_ledger();
        table
            .ledger
            .views
            .get(&self.data_centre_id)
            .is_some_and(|shards| shards.len() == usize::from(SHARD_COUNT))
    }

    /// Returns the step that the start has reached.
    pub fn readiness(&self) -> ReadinessStep {
        if self.bundle().is_none() {
            return ReadinessStep::WaitsForBundle;
        }
        if !self.lock_ledger().is_established || !self.has_all_views() {
            return ReadinessStep::WaitsForLedger;
        }
        if !self.lock_membership().may_act(read_clock()) {
            return ReadinessStep::Paused;
        }
        ReadinessStep::Ready
    }
}

/// Counts the routers of the own data centre, which share its backend servers.
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
