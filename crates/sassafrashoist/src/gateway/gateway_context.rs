//! The state that all actions of the gateway share.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use rustix::io::Errno;
use rustix::net::RecvFlags;
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::config_age::ConfigAge;
use sassafrashoist_core::gateway::config_contact::ConfigContact;
use sassafrashoist_core::gateway::config_sharing::ConfigSharing;
use sassafrashoist_core::gateway::config_times::ConfigTimes;
use sassafrashoist_core::gateway::connection_timeouts::ConnectionTimeouts;
use sassafrashoist_core::gateway::crash_book::CrashBook;
use sassafrashoist_core::gateway::crowding::Crowding;
use sassafrashoist_core::gateway::drain_plan::DrainPlan;
use sassafrashoist_core::gateway::inbox_watch::InboxWatch;
use sassafrashoist_core::gateway::line_limit::LineLimit;
use sassafrashoist_core::gateway::link_budget::LinkBudget;
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::memory_budget::MemoryBudget;
use sassafrashoist_core::gateway::open_connection_limit::OpenConnectionLimit;
use sassafrashoist_core::gateway::origin_outbox::OriginOutbox;
use sassafrashoist_core::gateway::permit_issuers::PermitIssuers;
use sassafrashoist_core::gateway::read_precedence::{ReadPrecedence, TopicRank};
use sassafrashoist_core::gateway::relay_vms::RelayVms;
use sassafrashoist_core::gateway::request_limit::RequestLimit;
use sassafrashoist_core::gateway::retry_limiter::{RetryLimit, RetryLimiter};
use sassafrashoist_core::gateway::route_history::RouteHistory;
use sassafrashoist_core::gateway::route_table::RouteTable;
use sassafrashoist_core::gateway::server_directory::ServerDirectory;
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_paths::{Opened, ReachCounts, ServerPaths};
use sassafrashoist_core::gateway::stall_watch::StallWatch;
use sassafrashoist_core::gateway::stream_origins::StreamOrigins;
use sassafrashoist_core::gateway::token_holding::TokenHolding;
use sassafrashoist_core::gateway::vm_settings::VmSettings;
use sassafrashoist_core::gateway::{ConfigVersion, HolderId, Uptime};
use sassafrashoist_core::ids::BackendServerId;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::check_server_list::ServerListCheck;
use super::open_connections::OpenConnections;
use super::permit_book::PermitBook;
use super::read_clocks::read_clocks;
use super::read_origin_history::OriginHistoryReads;
use super::read_stored_origins::StoredOriginReads;
use super::report_server_end::Inquiry;
use super::share_config::MAX_SERVED_FETCHES;
use super::token_book::TokenBook;
use super::turn_away::MAX_TURNED_AWAY_AT_A_TIME;

/// The most lines a second about requests that wait for silent servers.
const MAX_SILENCE_LINES_PER_S: u32 = 5;
/// The most lines a second about evacuation orders without effect.
const MAX_ORDER_LINES_PER_S: u32 = 1;
/// The retry slack of the fleet is divided by at least this number of VMs.
const MIN_RETRY_VM_COUNT: usize = 8;
/// Factor on the number of VMs in the ledger, because VMs that are not in it may retry as well.
const UNLISTED_VM_FACTOR: f64 = 1.25;
/// How long after a complete read of the ledger this VM's copy counts as fresh. After that, this VM
/// counts as disconnected from the ledger.
const MAX_LEDGER_AGE: Duration = Duration::from_millis(1_500);

/// The most servers about which the last answers of other VMs are kept.
const MAX_INQUIRIES: usize = 1_024;

/// The state that all actions of the gateway share.
///
/// A lock is held for a single step only, and never two locks at a time.
#[derive(Debug)]
pub struct GatewayContext {
    settings: Mutex<Arc<VmSettings>>,
    routes: Mutex<RouteHistory>,
    config_age: Mutex<ConfigAge>,
    config_sharing: Mutex<ConfigSharing>,
    config_contact: Mutex<ConfigContact>,
    servers: Mutex<ServerDirectory>,
    servers_listed: Mutex<bool>,
    paths: Mutex<ServerPaths>,
    relays: Mutex<RelayVms>,
    inquiries: Mutex<HashMap<BackendServerId, Inquiry>>,
    tokens: Mutex<TokenBook>,
    retries: Mutex<RetryLimiter>,
    silence_lines: Mutex<LineLimit>,
    odd_slowness_lines: Mutex<LineLimit>,
    order_lines: Mutex<LineLimit>,
    stalls: Mutex<StallWatch>,
    inbox: Mutex<InboxWatch>,
    crowding: Mutex<Crowding>,
    link: Mutex<LinkBudget>,
    permits: Mutex<PermitBook>,
    streams: Mutex<StreamOrigins>,
    origin_outbox: Mutex<OriginOutbox>,
    crashes: Mutex<CrashBook>,
    memory: Mutex<MemoryBudget>,
    read_precedence: Mutex<ReadPrecedence>,
    topic_read: Notify,
    datagram_socket: OnceLock<Arc<UdpSocket>>,
    drain_plan: OnceLock<DrainPlan>,
    caller_timeouts: watch::Sender<ConnectionTimeouts>,
    started_instant: Instant,
    /// The VM's clocks when the process started.
    pub started_at: ClockReading,
    /// Wakes the task that reads the ledger and appends this VM's records.
    pub ledger_wakeup: Notify,
    /// Wakes the tasks that fetch tokens for waiting requests.
    pub tokens_changed: Notify,
    /// Wakes the task that fetches the configuration from another VM.
    pub config_heard: Notify,
    /// The requests of other VMs for the configuration that may be served now.
    pub served_fetches: Semaphore,
    /// The callers that may be told now that there is no room for their connections.
    pub turned_away: Arc<Semaphore>,
    /// The connections of callers.
    pub caller_connections: Arc<OpenConnections>,
    /// The connections of other VMs and of operators.
    pub internal_connections: Arc<OpenConnections>,
    /// The last read of the server list for a request, held while another one is made.
    pub server_list_check: tokio::sync::Mutex<Option<ServerListCheck>>,
    /// The history of the server list and of the configurations, held while it is read.
    pub origin_history: tokio::sync::Mutex<OriginHistoryReads>,
    /// The origins of streams in the log, held while they are read.
    pub stored_origins: tokio::sync::Mutex<StoredOriginReads>,
    /// Requests in progress.
    pub requests: TaskTracker,
    /// Cancelled when the process receives the signal to stop.
    pub draining: CancellationToken,
    /// Cancelled when the shutdown grace period leaves no time to serve.
    pub serving_ended: CancellationToken,
    /// Cancelled when this process exits, whatever is still in progress.
    pub exiting: CancellationToken,
    /// Cancelled to end all tasks.
    pub cancel: CancellationToken,
}

impl GatewayContext {
    /// Creates the context of one incarnation of the process.
    pub fn new(settings: VmSettings, cancel: CancellationToken) -> Arc<Self> {
        let incarnation: u64 = rand::random();
        let holder_id: HolderId = format!("{}/{incarnation:016x}", settings.vm_id);
        let peer_address = SocketAddr::new(settings.ip, settings.peer_port);
        let holding = TokenHolding::new(
            holder_id,
            settings.vm_id.clone(),
            settings.data_centre_id.clone(),
            peer_address,
        );
        let issuers = PermitIssuers::new(FleetVm {
            vm_id: settings.vm_id.clone(),
            peer_address,
            data_centre_id: settings.data_centre_id.clone(),
        });
        let directory = ServerDirectory::new(
            settings.data_centre_id.clone(),
            settings.bounds.cache_window,
            settings.bounds.drain_timeout,
        );
        let mut link = LinkBudget::default();
        link.set_bandwidth(settings.bandwidth_bits_per_s);
        let config_times = ConfigTimes::new(settings.bounds.config_apply_time);
        let config_contact = ConfigContact::new(&config_times, settings.bounds.contact_time);
        Arc::new(Self {
            settings: Mutex::new(Arc::new(settings)),
            routes: Mutex::default(),
            config_age: Mutex::default(),
            config_sharing: Mutex::new(ConfigSharing::new(config_times)),
            config_contact: Mutex::new(config_contact),
            servers: Mutex::new(directory),
            servers_listed: Mutex::default(),
            paths: Mutex::default(),
            relays: Mutex::default(),
            inquiries: Mutex::default(),
            tokens: Mutex::new(TokenBook::new(holding, issuers)),
            retries: Mutex::default(),
            odd_slowness_lines: Mutex::new(LineLimit::new(1)),
            order_lines: Mutex::new(LineLimit::new(MAX_ORDER_LINES_PER_S)),
            silence_lines: Mutex::new(LineLimit::new(MAX_SILENCE_LINES_PER_S)),
            stalls: Mutex::default(),
            inbox: Mutex::default(),
            crowding: Mutex::default(),
            link: Mutex::new(link),
            permits: Mutex::default(),
            streams: Mutex::default(),
            origin_outbox: Mutex::default(),
            crashes: Mutex::default(),
            memory: Mutex::default(),
            read_precedence: Mutex::default(),
            topic_read: Notify::new(),
            datagram_socket: OnceLock::new(),
            drain_plan: OnceLock::new(),
            caller_timeouts: watch::Sender::default(),
            started_instant: Instant::now(),
            started_at: read_clocks(),
            ledger_wakeup: Notify::new(),
            tokens_changed: Notify::new(),
            config_heard: Notify::new(),
            served_fetches: Semaphore::new(MAX_SERVED_FETCHES),
            turned_away: Arc::new(Semaphore::new(MAX_TURNED_AWAY_AT_A_TIME)),
            caller_connections: Arc::default(),
            internal_connections: Arc::default(),
            server_list_check: tokio::sync::Mutex::default(),
            origin_history: tokio::sync::Mutex::default(),
            stored_origins: tokio::sync::Mutex::default(),
            requests: TaskTracker::new(),
            draining: cancel.child_token(),
            serving_ended: CancellationToken::new(),
            exiting: CancellationToken::new(),
            cancel,
        })
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Uptime {
        self.started_instant.elapsed()
    }

    /// Converts an uptime to an instant for timers.
    pub fn instant(&self, at: Uptime) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started_instant + at)
    }

    /// Records that this process runs, and logs for how long it stood still before.
    pub fn record_running(&self) {
        let now = self.now();
        let stall_time = lock(&self.stalls).record_running(now);
        if let Some(stall_time) = stall_time {
            metrics::histogram!("sassafrashoist_stall_seconds").record(stall_time.as_secs_f64());
            log::info!(
                stall_ms = stall_time.as_millis() as u64, connections:% = self.caller_connections,
                requests = self.requests.len();
                "process stood still"
            );
        }
    }

    /// Returns for how long what is read now may have waited because this process stood still; zero if
    /// it did not.
    pub fn longest_wait(&self) -> Duration {
        self.record_running();
        lock(&self.stalls).longest_wait(self.now())
    }

    /// Returns the active settings.
    pub fn settings(&self) -> Arc<VmSettings> {
        Arc::clone(&lock(&self.settings))
    }

    /// Replaces the active settings.
    pub fn replace_settings(&self, settings: VmSettings) {
        self.lock_link().set_bandwidth(settings.bandwidth_bits_per_s);
        *lock(&self.settings) = Arc::new(settings);
    }

    /// Returns the routes of the active configuration; `None` before the first one is read.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.lock_routes().active().cloned()
    }

    /// Locks the routes of the active configuration and of earlier ones.
    pub fn lock_routes(&self) -> MutexGuard<'_, RouteHistory> {
        lock(&self.routes)
    }

    /// Replaces the active configuration if the given one is newer; returns whether it is.
    pub fn replace_routes(&self, routes: &Arc<RouteTable>) -> bool {
        let is_newer = self.lock_routes().replace(routes, self.now());
        if is_newer {
            self.caller_timeouts.send_replace(ConnectionTimeouts::of(&routes.config().limits));
            self.lock_config_age().record_active(routes.config().version);
        }
        is_newer
    }

    /// Returns the timeouts of callers' connections, which follow the active configuration.
    pub fn caller_timeouts(&self) -> watch::Receiver<ConnectionTimeouts> {
        self.caller_timeouts.subscribe()
    }

    /// Locks what this VM knows of the age of its configuration.
    pub fn lock_config_age(&self) -> MutexGuard<'_, ConfigAge> {
        lock(&self.config_age)
    }

    /// Records that no version newer than the one in force existed at a time.
    pub fn record_config_confirmed(&self, at: Uptime) {
        self.lock_config_age().record_confirmed(at);
        // Other topics need not wait for the configuration, also if another VM confirmed it.
        self.record_topic_read(TopicRank::Config);
    }

    /// Looks whether datagrams wait to be read.
    pub fn check_inbox(&self) {
        let Some(socket) = self.datagram_socket() else {
            return;
        };
        let mut byte = [0_u8];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        if rustix::net::recv(socket, &mut byte[..], flags) == Err(Errno::AGAIN) {
            lock(&self.inbox).record_empty(self.now());
        }
    }

    /// Returns for how long a datagram that is read now may have waited in this VM.
    pub fn longest_datagram_wait(&self) -> Duration {
        lock(&self.inbox).longest_wait(self.now())
    }

    /// Records that another VM knew at a time that no version newer than the one in force existed.
    pub fn record_config_announced(&self, at: Uptime) {
        self.record_config_confirmed(at);
        self.record_config_contact();
    }

    /// Records that the end of the topic of the configuration was read, whatever its newest record is.
    pub fn record_config_checked(&self, at: Uptime) {
        self.lock_config_age().record_checked(at);
    }

    /// Records a sign of the log service, from itself or from a VM that reads it.
    pub fn record_config_contact(&self) {
        self.record_running();
        let stall_ended_at = lock(&self.stalls).stall_ended_at();
        lock(&self.config_contact).record_heard(stall_ended_at, self.now());
    }

    /// Returns whether requests must not be served by the active configuration: it may have been
    /// replaced for longer than a change may take to come into force, and this VM is not cut off from
    /// what brings a newer one.
    pub fn is_config_too_old(&self) -> bool {
        let now = self.now();
        let apply_time = self.settings().bounds.config_apply_time;
        if !self.lock_config_age().is_too_old(apply_time, now) {
            return false;
        }
        self.record_running();
        let stall_ended_at = lock(&self.stalls).stall_ended_at();
        lock(&self.config_contact).is_settled(stall_ended_at, now)
    }

    /// Records that another VM has a version.
    pub fn record_config_heard(&self, version: ConfigVersion) {
        log::debug!(version = version; "newer configuration announced by another VM");
        self.lock_config_age().record_heard(version, self.now());
    }

    /// Locks when this VM reads the configuration, and from where.
    pub fn lock_config_sharing(&self) -> MutexGuard<'_, ConfigSharing> {
        lock(&self.config_sharing)
    }

    /// Locks the directory of backend servers.
    pub fn lock_servers(&self) -> MutexGuard<'_, ServerDirectory> {
        lock(&self.servers)
    }

    /// Locks what this VM knows of its paths to backend servers.
    pub fn lock_paths(&self) -> MutexGuard<'_, ServerPaths> {
        lock(&self.paths)
    }

    /// Returns what other VMs answered last about a server that a connection of this VM lost.
    pub fn inquiry(&self, server_id: &str) -> Inquiry {
        let mut inquiries = lock(&self.inquiries);
        if inquiries.len() >= MAX_INQUIRIES {
            inquiries.retain(|_, inquiry| Arc::strong_count(inquiry) > 1);
        }
        Arc::clone(inquiries.entry(server_id.to_owned()).or_default())
    }

    /// Locks what this VM knows of the VMs that help it.
    pub fn lock_relays(&self) -> MutexGuard<'_, RelayVms> {
        lock(&self.relays)
    }

    /// Returns the other VMs of the fleet that are not lost.
    pub fn other_vms(&self) -> Vec<FleetVm> {
        let now = self.now();
        let others: Vec<_> = self.lock_tokens().issuers.live_vms.others(now).cloned().collect();
        self.lock_relays().retain(&others);
        others
    }

    /// Records that a connection of this VM to a server opened.
    pub fn record_opened(&self, pool_id: &str, server_id: &str) {
        let mut paths = self.lock_paths();
        let opened = paths.record_opened(pool_id, server_id, self.now());
        if opened == Opened::AsBefore {
            return;
        }
        let counts = paths.counts();
        drop(paths);
        publish(counts);
        if opened == Opened::Regained {
            log::info!(
                server = server_id, paths_lost = counts.lost;
                "path to a server regained"
            );
        }
    }

    /// Records that a connection of this VM to a server did not open.
    pub fn record_failed(&self, server_id: &str) {
        let mut paths = self.lock_paths();
        paths.record_failed(server_id);
        let counts = paths.counts();
        drop(paths);
        publish(counts);
    }

    /// Records that another VM reaches a server to which a connection of this VM did not open.
    pub fn record_path_lost(
        &self,
        listing: &ServerListing,
        found_by: &str,
        error: &dyn fmt::Display,
    ) {
        let pool = self.lock_servers().servers_of(&listing.pool_id);
        let mut paths = self.lock_paths();
        let lost = paths.record_lost(&listing.pool_id, &listing.id, &pool, self.now());
        let counts = paths.counts();
        drop(paths);
        publish(counts);
        if !lost.is_new {
            return;
        }
        self.lock_servers().forget_failures(&listing.id);
        metrics::counter!("sassafrashoist_paths_lost_total").increment(1);
        log::warn!(
            server = listing.id, pool = listing.pool_id, found_by = found_by, error:% = error,
            servers_reached = counts.reached, servers_not_reached = counts.failed,
            paths_lost = counts.lost, assumed = lost.assumed_count;
            "path to a server lost: another VM reaches it"
        );
    }

    /// Locks the order in which the topics of the log service are read.
    pub fn lock_read_precedence(&self) -> MutexGuard<'_, ReadPrecedence> {
        lock(&self.read_precedence)
    }

    /// Waits until the newest records of a topic may be read.
    pub async fn wait_for_earlier_topics(&self, rank: TopicRank) {
        loop {
            let topic_read = self.topic_read.notified();
            let delayed_until = self.lock_read_precedence().record_ready(rank, self.now());
            let Some(delayed_until) = delayed_until else {
                return;
            };
            tokio::select! {
                () = topic_read => {}
                () = tokio::time::sleep_until(self.instant(delayed_until)) => {}
            }
        }
    }

    /// Records that a topic was read; the reads of other topics may have waited for that.
    pub fn record_topic_read(&self, rank: TopicRank) {
        if self.lock_read_precedence().record_current(rank) {
            self.topic_read.notify_waiters();
        }
    }

    /// Begins the graceful shutdown; the plan of the first signal holds.
    pub fn begin_drain(&self, plan: DrainPlan) {
        self.drain_plan.get_or_init(|| plan);
        self.draining.cancel();
    }

    /// Returns whether a request with a deadline may be passed on to a server, as far as the shutdown
    /// grace period goes.
    pub fn covers(&self, deadline: Uptime) -> bool {
        self.drain_plan.get().is_none_or(|plan| plan.covers(self.now(), deadline))
    }

    /// Locks the permits that this VM issues.
    pub fn lock_permits(&self) -> MutexGuard<'_, PermitBook> {
        lock(&self.permits)
    }

    /// Locks the origins of streams that this VM keeps.
    pub fn lock_streams(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.streams)
    }

    /// Locks the streams of this VM whose origins have to be in the log.
    pub fn lock_origin_outbox(&self) -> MutexGuard<'_, OriginOutbox> {
        lock(&self.origin_outbox)
    }

    /// Locks what this VM knows about requests that crash backend servers.
    pub fn lock_crashes(&self) -> MutexGuard<'_, CrashBook> {
        lock(&self.crashes)
    }

    /// Locks how much memory bodies and events hold.
    pub fn lock_memory(&self) -> MutexGuard<'_, MemoryBudget> {
        lock(&self.memory)
    }

    /// Locks the budget of the VM's link.
    pub fn lock_link(&self) -> MutexGuard<'_, LinkBudget> {
        lock(&self.link)
    }

    /// Returns how many requests this VM holds at a time beside the connections of callers.
    pub fn request_limit(&self) -> RequestLimit {
        let counts = self.caller_connections.counts();
        let connection_count = counts.total() - counts.unanswered();
        RequestLimit::of_memory(self.settings().memory_bytes).beside_connections(connection_count)
    }

    /// Returns how many connections callers may keep open.
    pub fn open_connection_limit(&self) -> OpenConnectionLimit {
        let settings = self.settings();
        OpenConnectionLimit::new(settings.memory_bytes, settings.descriptor_count)
    }

    /// Records that a caller was turned away, and logs the first one after some time.
    pub fn record_turned_away(&self, reason: &'static str) {
        if lock(&self.crowding).record_turned_away(self.now()) {
            self.log_crowded(reason);
        }
    }

    /// Returns for how long no connections of callers are to be accepted; `None` if they are. A VM without
    /// neighbours accepts all: no other VM could serve their callers.
    pub fn accept_pause(&self) -> Option<Duration> {
        let now = self.now();
        let shortest_target_latency = self.routes()?.shortest_target_latency();
        let (pause, backlog, delay) = {
            let mut link = self.lock_link();
            let pause = link.accept_pause(shortest_target_latency, now);
            (pause, link.backlog(now), link.delay.current(now))
        };
        metrics::gauge!("sassafrashoist_link_backlog_ms").set(backlog.as_secs_f64() * 1_000.0);
        metrics::gauge!("sassafrashoist_link_delay_ms").set(delay.as_secs_f64() * 1_000.0);
        let pause = pause?;
        self.lock_tokens().issuers.live_vms.neighbours(now).next()?;
        metrics::counter!("sassafrashoist_accept_pauses_total").increment(1);
        let is_overloaded = self.lock_link().is_overloaded(now);
        if is_overloaded && lock(&self.crowding).record_overload(now) {
            self.log_crowded("link is full");
        }
        Some(pause)
    }

    /// Returns whether this VM is not ready because its link had no room lately.
    pub fn is_link_overloaded(&self) -> bool {
        lock(&self.crowding).is_overloaded(self.now())
    }

    /// Records how late a timer fired, which shows whether this VM is short of processor time.
    pub fn record_timer(&self, lateness: Duration) {
        if lock(&self.crowding).record_timer(lateness, self.now()) {
            self.log_crowded("timers fire late");
        }
    }

    fn log_crowded(&self, reason: &'static str) {
        log::warn!(
            reason = reason, connections:% = self.caller_connections,
            requests = self.requests.len();
            "more callers than this VM can serve"
        );
    }

    /// Returns whether this VM can hold the requests in progress.
    pub fn can_hold_requests(&self) -> bool {
        let held_bytes = self.lock_memory().held_bytes();
        self.request_limit().allows(self.requests.len(), held_bytes)
    }

    /// Returns the socket for datagrams to other VMs, once it is open.
    pub fn datagram_socket(&self) -> Option<&UdpSocket> {
        self.datagram_socket.get().map(|socket| &**socket)
    }

    /// Sets the socket for datagrams to other VMs; it is set once.
    pub fn set_datagram_socket(&self, socket: Arc<UdpSocket>) {
        self.datagram_socket.get_or_init(|| socket);
    }

    /// Returns the issuers of a server's permits that are not known to be unreachable, the first
    /// choice first.
    pub fn reachable_issuers(&self, server_id: &str) -> Vec<FleetVm> {
        let now = self.now();
        let mut issuers = self.lock_tokens().issuers.issuers(server_id, now);
        let permits = self.lock_permits();
        issuers.retain(|issuer| !permits.is_unreachable(&issuer.vm_id, now));
        issuers
    }

    /// Returns whether another line about a request that waits for a silent server is logged.
    pub fn is_silence_logged(&self, now: Uptime) -> bool {
        lock(&self.silence_lines).record(now).is_some()
    }

    /// Records a report of slowness that makes no sense. If it is to be logged, returns the number of
    /// those that were not logged since the last one that was.
    pub fn record_odd_slowness(&self, now: Uptime) -> Option<u64> {
        lock(&self.odd_slowness_lines).record(now)
    }

    /// Records a problem with an evacuation order. If it is to be logged, returns the number of those
    /// that were not logged since the last one that was.
    pub fn record_order_line(&self) -> Option<u64> {
        lock(&self.order_lines).record(self.now())
    }

    /// Returns whether no request may be sent to a server, as its data centre is evacuated.
    pub fn is_evacuated(&self, listing: &ServerListing) -> bool {
        self.lock_servers().evacuations.is_evacuated(&listing.data_centre_id)
    }

    /// Returns whether the whole server list was read.
    pub fn is_server_list_read(&self) -> bool {
        *lock(&self.servers_listed)
    }

    /// Records that the whole server list was read.
    pub fn mark_servers_listed(&self) {
        *lock(&self.servers_listed) = true;
    }

    /// Locks the copy of the ledger and the tokens that this process holds.
    pub fn lock_tokens(&self) -> MutexGuard<'_, TokenBook> {
        lock(&self.tokens)
    }

    /// Returns whether this VM can serve requests: it has read the configuration, the server list and
    /// the ledger, and neither is the configuration too old nor are callers turned away.
    pub fn is_ready(&self) -> bool {
        !self.is_config_too_old()
            && !self.sends_callers_away()
            && !self.draining.is_cancelled()
            && self.routes().is_some()
            && *lock(&self.servers_listed)
            && self.lock_tokens().read_at.is_some()
    }

    /// Returns whether callers should rather connect to the other VMs of the data centre.
    fn sends_callers_away(&self) -> bool {
        let now = self.now();
        let neighbour_count = self.lock_tokens().issuers.live_vms.neighbours(now).count();
        lock(&self.crowding).sends_callers_away(neighbour_count, now)
    }

    /// Counts a caller's request, for the retry limit.
    pub fn record_request(&self, pool_id: &str) {
        let window = self.settings().bounds.retry_window;
        lock(&self.retries).record_request(pool_id, window, self.now());
    }

    /// Counts a retry to a pool if the retry limit of this VM allows one; returns whether it does.
    #[must_use]
    pub fn try_retry(&self, pool_id: &str) -> bool {
        let bounds = self.settings().bounds;
        let vm_count = self.lock_tokens().ledger.live_holders().count().max(MIN_RETRY_VM_COUNT);
        let limit = RetryLimit {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack / (vm_count as f64 * UNLISTED_VM_FACTOR),
            window: bounds.retry_window,
        };
        lock(&self.retries).try_retry(pool_id, &limit, self.now())
    }

    /// Returns whether appending a record to the ledger could soon make tokens of an account
    /// spendable on this VM.
    pub fn may_gain_tokens_by_append(&self, account_id: &str) -> bool {
        let paid_tokens = self.routes().and_then(|r| r.config().paid_tokens(account_id));
        let now = self.now();
        self.is_ledger_fresh()
            && paid_tokens.is_some_and(|paid| {
                self.lock_tokens().may_gain_tokens_by_append(account_id, paid, now)
            })
    }

    /// Wakes the ledger task to append a record that covers all requests that wait for tokens of an
    /// account; returns false if none waits.
    pub fn request_ledger_record(&self, account_id: &str) -> bool {
        let mut tokens = self.lock_tokens();
        let needed_tokens = tokens.queue.total_needed_tokens(account_id);
        if needed_tokens == 0 {
            return false;
        }
        tokens.holding.record_demand(account_id, needed_tokens);
        drop(tokens);
        self.ledger_wakeup.notify_one();
        true
    }

    /// Reserves tokens that became available for the requests that wait for them.
    pub fn serve_waiting_requests(&self) {
        let now = self.now();
        self.lock_tokens().serve_queue(now);
        self.tokens_changed.notify_waiters();
    }

    /// Returns the number of VMs in the ledger; `None` before it was read.
    pub fn known_vm_count(&self) -> Option<usize> {
        let tokens = self.lock_tokens();
        tokens.read_at.map(|_| tokens.ledger.live_holders().count())
    }

    /// Returns whether the ledger was read to its end recently.
    pub fn is_ledger_fresh(&self) -> bool {
        let read_at = self.lock_tokens().read_at;
        read_at.is_some_and(|read_at| self.now().saturating_sub(read_at) < MAX_LEDGER_AGE)
    }
}

/// Publishes how many servers this VM reaches.
fn publish(counts: ReachCounts) {
    metrics::gauge!("sassafrashoist_servers_reachable").set(counts.reached as f64);
    metrics::gauge!("sassafrashoist_servers_unreachable").set(counts.failed as f64);
    metrics::gauge!("sassafrashoist_paths_lost").set(counts.lost as f64);
}

/// Locks a mutex, also a poisoned one: a panic ends only the task that held the lock, and the
/// guarded value is valid after each step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
