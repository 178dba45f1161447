//! The one value that is passed down to every action of the gateway.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::retry_limiter::{RetryLimit, RetryLimiter};
use sassafrashoist_core::gateway::route_table::RouteTable;
use sassafrashoist_core::gateway::server_directory::ServerDirectory;
use sassafrashoist_core::gateway::token_holding::TokenHolding;
use sassafrashoist_core::gateway::vm_settings::VmSettings;
use sassafrashoist_core::gateway::{HolderId, Uptime};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::read_clocks::read_clocks;
use super::token_book::TokenBook;

/// The share of the retry slack of a VM is worked out for at least this many VMs.
const MIN_RETRY_SHARERS: usize = 8;
/// A VM that is not in the ledger may still send; the slack is divided by this much more.
const UNSEEN_VM_FACTOR: f64 = 1.25;
/// The age up to which the ledger tells where tokens are.
const MAX_LEDGER_AGE: Duration = Duration::from_millis(1_500);

/// The one value that is passed down to every action of the gateway.
///
/// Locks are held for single steps and never two at a time.
#[derive(Debug)]
pub struct GatewayContext {
    settings: Mutex<Arc<VmSettings>>,
    routes: Mutex<Option<Arc<RouteTable>>>,
    servers: Mutex<ServerDirectory>,
    servers_listed: Mutex<bool>,
    tokens: Mutex<TokenBook>,
    retries: Mutex<RetryLimiter>,
    started_instant: Instant,
    /// When the process started.
    pub started_at: ClockReading,
    /// Wakes the task that draws tokens.
    pub tokens_wanted: Notify,
    /// Wakes who fetches tokens.
    pub tokens_changed: Notify,
    /// Requests in progress.
    pub requests: TaskTracker,
    /// Cancelled when the process is told to stop.
    pub draining: CancellationToken,
    /// Cancelled when nothing may go on.
    pub cancel: CancellationToken,
}

impl GatewayContext {
    /// Builds the context of a run of the process.
    pub fn new(settings: VmSettings, cancel: CancellationToken) -> Arc<Self> {
        let run_number: u64 = rand::random();
        let holder_id: HolderId = format!("{}/{run_number:016x}", settings.vm_id);
        let peer_address = SocketAddr::new(settings.ip, settings.peer_port);
        let holding = TokenHolding::new(
            holder_id,
            settings.vm_id.clone(),
            settings.data_centre_id.clone(),
            peer_address,
        );
        let directory = ServerDirectory::new(
            settings.data_centre_id.clone(),
            settings.bounds.cache_window,
            settings.bounds.drain_timeout,
        );
        Arc::new(Self {
            settings: Mutex::new(Arc::new(settings)),
            routes: Mutex::default(),
            servers: Mutex::new(directory),
            servers_listed: Mutex::default(),
            tokens: Mutex::new(TokenBook::new(holding)),
            retries: Mutex::default(),
            started_instant: Instant::now(),
            started_at: read_clocks(),
            tokens_wanted: Notify::new(),
            tokens_changed: Notify::new(),
            requests: TaskTracker::new(),
            draining: cancel.child_token(),
            cancel,
        })
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Uptime {
        self.started_instant.elapsed()
    }

    /// Returns the instant of an uptime, for timers.
    pub fn instant(&self, at: Uptime) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started_instant + at)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<VmSettings> {
        Arc::clone(&lock(&self.settings))
    }

    /// Puts settings in force.
    pub fn replace_settings(&self, settings: VmSettings) {
        *lock(&self.settings) = Arc::new(settings);
    }

    /// Returns the configuration in force, once there is one.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        lock(&self.routes).clone()
    }

    /// Puts a configuration in force unless a newer one is; false when it was not newer.
    pub fn replace_routes(&self, routes: &Arc<RouteTable>) -> bool {
        let mut current = lock(&self.routes);
        let is_newer =
            current.as_ref().is_none_or(|c| c.config().version < routes.config().version);
        if is_newer {
            *current = Some(Arc::clone(routes));
        }
        is_newer
    }

    /// Locks the backend servers.
    pub fn lock_servers(&self) -> MutexGuard<'_, ServerDirectory> {
        lock(&self.servers)
    }

    /// Returns how long a server has said nothing to any request; `None` if it is gone.
    pub fn silence_of(&self, server_id: &str, now: Uptime) -> Option<Duration> {
        Some(self.lock_servers().server(server_id)?.unresponsive_time(now))
    }

    /// Records that the whole list of servers was read.
    pub fn mark_servers_listed(&self) {
        *lock(&self.servers_listed) = true;
    }

    /// Locks the ledger and the tokens of this process.
    pub fn lock_tokens(&self) -> MutexGuard<'_, TokenBook> {
        lock(&self.tokens)
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        !self.draining.is_cancelled() && self.routes().is_some() && *lock(&self.servers_listed)
    }

    /// Counts a request of a caller for the bound on repeated sends.
    pub fn record_request(&self, pool_id: &str) {
        let window = self.settings().bounds.retry_window;
        lock(&self.retries).record_request(pool_id, window, self.now());
    }

    /// Takes one repeated send to a pool; false when this VM has used up its part.
    #[must_use]
    pub fn try_repeat(&self, pool_id: &str) -> bool {
        let bounds = self.settings().bounds;
        let vm_count = self.lock_tokens().ledger.live_holders().count().max(MIN_RETRY_SHARERS);
        let bound = RetryLimit {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack / (vm_count as f64 * UNSEEN_VM_FACTOR),
            window: bounds.retry_window,
        };
        lock(&self.retries).try_retry(pool_id, &bound, self.now())
    }

    /// Returns whether a record in the ledger could bring tokens of an account here, soon.
    pub fn gains_by_record(&self, account_id: &str) -> bool {
        let paid_tokens = self.routes().and_then(|r| r.config().paid_tokens(account_id));
        let now = self.now();
        self.is_ledger_fresh()
            && paid_tokens
                .is_some_and(|paid| self.lock_tokens().gains_by_record(account_id, paid, now))
    }

    /// Asks for a record in the ledger that covers all requests that wait for tokens of an account;
    /// false if none waits.
    pub fn want_record(&self, account_id: &str) -> bool {
        let mut tokens = self.lock_tokens();
        let needed_tokens = tokens.queue.total_needed_tokens(account_id);
        if needed_tokens == 0 {
            return false;
        }
        tokens.holding.record_demand(account_id, needed_tokens);
        drop(tokens);
        self.tokens_wanted.notify_one();
        true
    }

    /// Gives tokens that came to the requests that wait for them.
    pub fn tokens_came(&self) {
        let now = self.now();
        self.lock_tokens().serve_queue(now);
        self.tokens_changed.notify_waiters();
    }

    /// Returns whether the ledger was read to its end a short while ago.
    pub fn is_ledger_fresh(&self) -> bool {
        let read_at = self.lock_tokens().read_at;
        read_at.is_some_and(|read_at| self.now().saturating_sub(read_at) < MAX_LEDGER_AGE)
    }
}

/// A panic while a lock is held ends the process's task, and what it guards is valid after each
/// step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
