//! The tables that the workers share.
//!
//! Lock order: `bundle`, `bundle_chain`, `ledger`, `owner`, `admission`, `routing`, `decisions`. A worker that
//! holds one lock takes only locks to its right, and no lock is held over an await.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use sassafrashoist_bundle::bundle_record::BundleChain;
use sassafrashoist_core::budgets::ledger::Ledger;
use sassafrashoist_core::decision_log::DecisionLog;
use sassafrashoist_core::owner::budget_owner::BudgetOwner;
use sassafrashoist_core::requests::key_table::KeyTableLimits;
use sassafrashoist_core::routing::routing_table::RoutingTable;

use super::active_bundle::ActiveBundle;
use super::backend_dispatcher::BackendDispatcher;
use super::readiness::ReadinessStep;
use super::settings::Settings;

/// Decisions kept for state dumps and explanations.
const MAX_DECISIONS: usize = 4_096;

/// The tables that the workers share.
#[derive(Debug)]
pub struct Tables {
    bundle: RwLock<Option<Arc<ActiveBundle>>>,
    bundle_chain: Mutex<BundleChain>,
    ledger: Mutex<LedgerTable>,
    owner: Mutex<BudgetOwner>,
    dispatcher: Arc<BackendDispatcher>,
    decisions: Mutex<DecisionLog>,
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
    pub fn new(settings: &Settings) -> Self {
        Self {
            bundle: RwLock::new(None),
            bundle_chain: Mutex::new(BundleChain::new(settings.root_operators.clone())),
            ledger: Mutex::new(LedgerTable::default()),
            owner: Mutex::new(BudgetOwner::new(KeyTableLimits::default())),
            dispatcher: BackendDispatcher::new(
                settings.data_centre_id.clone(),
                count_routers(settings),
                settings.routing_policy,
            ),
            decisions: Mutex::new(DecisionLog::new(MAX_DECISIONS)),
        }
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<Arc<ActiveBundle>> {
        self.bundle.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a bundle in force.
    pub fn set_bundle(&self, bundle: Arc<ActiveBundle>) {
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
    pub fn lock_owner(&self) -> MutexGuard<'_, BudgetOwner> {
        lock(&self.owner)
    }

    /// Returns what hands out places on backend servers; its tables are `admission` and `routing`.
    pub fn dispatcher(&self) -> &Arc<BackendDispatcher> {
        &self.dispatcher
    }

    /// Locks the routing table.
    pub fn lock_routing(&self) -> MutexGuard<'_, RoutingTable> {
        self.dispatcher.lock_routing()
    }

    /// Locks the decision log.
    pub fn lock_decisions(&self) -> MutexGuard<'_, DecisionLog> {
        lock(&self.decisions)
    }

    /// Returns the step that the start has reached.
    pub fn readiness(&self) -> ReadinessStep {
        if self.bundle().is_none() {
            return ReadinessStep::WaitsForBundle;
        }
        if !self.lock_ledger().is_established {
            return ReadinessStep::WaitsForLedger;
        }
        ReadinessStep::Ready
    }
}

/// Counts the routers of the own data centre, which share its backend servers.
fn count_routers(settings: &Settings) -> u32 {
    let own = &settings.data_centre_id;
    1 + settings.peers.iter().filter(|peer| peer.data_centre_id == *own).count() as u32
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
