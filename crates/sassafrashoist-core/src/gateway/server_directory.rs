//! The backend servers that the platform lists, and the choice of a server for each attempt.
//!
//! Each server gets a cost: the time after which its response is expected to start. An engine first
//! processes the part of the prompt that it has not cached (prefill), after the prompts that are
//! queued there. All VMs prefer the same server for the prompt prefix of a session, by rendezvous
//! hashing and without messages, and choose another server as soon as that one is expected to
//! respond sooner. Loaded, unresponsive and failing servers cost more. Load, unresponsiveness and
//! failures are all derived from a server's responses to requests.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::evacuations::Evacuations;
use super::placement_cost::PlacementCost;
use super::pool_versions::PoolVersions;
use super::recent_prompts::RecentPrompts;
use super::response_overhead::ResponseOverhead;
use super::server_listing::ServerListing;
use super::server_silence::{OtherServers, SILENT_TIME};
use super::server_speed::ServerSpeed;
use super::server_state::{RejectedBy, ReportedLoad, ServerState};
use super::stream_origins::StreamOrigin;
use super::warm_up::PoolWarmUp;
use super::{PromptPartId, SoftwareVersion, Uptime};
use crate::ids::{BackendServerId, DataCentreId, PoolId, Tokens};
use crate::rendezvous::choose_owner;
use crate::routing::circuit_breaker::AttemptVerdict;
use crate::routing::server_limit::{LimitReport, LimitStatement, ServerLimit};

/// The prefill speed of engines that is assumed before the first sample, in tokens per millisecond.
const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// The weight of one sample of the prefill speed in the moving average.
const PREFILL_SAMPLE_WEIGHT: f64 = 0.05;
/// The shortest prefill, in tokens, whose time to the first event is used as a sample of the speed.
const MIN_PREFILL_SAMPLE_TOKENS: u64 = 4_000;
/// The shortest prefill, in tokens, that is a sample of the speed of a server that reports its
/// slowness.
const MIN_SPEED_SAMPLE_TOKENS: f64 = 500.0;
/// The fraction of a shared prefix that the preferred server is expected not to have cached.
const PREFERRED_UNCACHED_FRACTION: f64 = 0.3;
/// The weight of a prefix token on a server that is not expected to have cached it: processing it
/// there again also delays the other requests of that server.
const UNCACHED_TOKEN_WEIGHT: Tokens = 2;
/// The cost of a server whose slots are all in use, beyond that of an idle one, in milliseconds.
const FULL_SLOTS_COST_MS: f64 = 120.0;
/// The extra cost of a request beyond the slots, as a multiple of the cost of a request in a slot.
const QUEUE_COST_FACTOR: f64 = 4.0;
/// The cost of a server that fails every request, in milliseconds.
const FAILING_COST_MS: f64 = 1_500.0;
/// The cost of a server in another data centre, in milliseconds.
const REMOTE_COST_MS: f64 = 4.0;
/// The maximum random addition to a cost, in milliseconds.
const MAX_JITTER_MS: f64 = 3.0;
/// The fraction of the drain timeout for which a server that left the list, or says that it leaves,
/// may be used when its pool has no other.
const ENDING_USE_FRACTION: f64 = 0.75;
/// The longest time until the entry of a server that started again is read, while the list can be
/// read.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(3);
/// The time after which the VMs that use a brittle server are selected anew.
const BRITTLE_USE_INTERVAL: Duration = Duration::from_secs(1);
/// The most parts of prompts that are remembered.
const MAX_KEPT_PARTS: usize = 4_096;

/// The requirements of a request on its server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerRequirements {
    /// The pool of the server.
    pub pool_id: PoolId,
    /// Identifies the prompt prefix that the requests of a session share, by the id of the last
    /// part of the prefix.
    pub prefix_id: Option<PromptPartId>,
    /// The length of that prefix.
    pub prefix_tokens: Tokens,
    /// The length of the prompt after that prefix.
    pub suffix_tokens: Tokens,
    /// The servers that the request was already sent to.
    pub excluded: Vec<BackendServerId>,
    /// The software version that began the stream, if the request resumes one.
    pub software_version: Option<SoftwareVersion>,
    /// Whether servers that name limits are left out.
    pub excludes_limited: bool,
}

/// The server that was chosen for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerChoice {
    /// The listing of the server.
    pub listing: ServerListing,
    /// The time after which the response is expected to start, in milliseconds.
    pub cost_ms: f64,
    /// The prompt tokens that the server is estimated to prefill, as weighted in the cost.
    pub prefill_tokens: Tokens,
    /// Whether the server names a limit, so that the attempt needs a permit.
    pub needs_permit: bool,
    /// What the cost follows from, if the server reports its slowness.
    pub placement: Option<PlacementCost>,
}

/// The backend servers that the platform lists, and the choice of a server for each attempt.
#[derive(Debug)]
pub struct ServerDirectory {
    servers: BTreeMap<BackendServerId, ServerState>,
    cached_prefixes: HashMap<(BackendServerId, PromptPartId), Uptime>,
    data_centre_id: DataCentreId,
    cache_window: Duration,
    ending_use_time: Duration,
    prefill_tokens_per_ms: f64,
    /// The speed of all servers of a pool together, for those that report their slowness.
    usual_speeds: HashMap<PoolId, ServerSpeed>,
    recent_prompts: HashMap<PoolId, RecentPrompts>,
    response_overhead: ResponseOverhead,
    warm_ups: BTreeMap<PoolId, PoolWarmUp>,
    /// The software versions that the pools have had.
    pub pool_versions: PoolVersions,
    /// The data centres to whose servers nothing is sent.
    pub evacuations: Evacuations,
}

impl ServerDirectory {
    /// Creates an empty directory for a VM in the given data centre.
    pub fn new(
        data_centre_id: DataCentreId,
        cache_window: Duration,
        drain_timeout: Duration,
    ) -> Self {
        Self {
            servers: BTreeMap::new(),
            cached_prefixes: HashMap::new(),
            data_centre_id,
            cache_window,
            ending_use_time: drain_timeout.mul_f64(ENDING_USE_FRACTION),
            prefill_tokens_per_ms: INITIAL_PREFILL_TOKENS_PER_MS,
            usual_speeds: HashMap::new(),
            recent_prompts: HashMap::new(),
            response_overhead: ResponseOverhead::default(),
            warm_ups: BTreeMap::new(),
            pool_versions: PoolVersions::default(),
            evacuations: Evacuations::default(),
        }
    }

    /// Returns the state of a server.
    pub fn server(&self, server_id: &str) -> Option<&ServerState> {
        self.servers.get(server_id)
    }

    /// Adds a server or updates its listing; returns whether anything changed.
    ///
    /// A server with another start time, address or software version replaces the state of the
    /// previous one.
    pub fn add_or_update(&mut self, listing: ServerListing, now: Uptime) -> bool {
        self.pool_versions.record_seen(&listing, now);
        let warm_up = self.warm_ups.get(&listing.pool_id).copied();
        if let Some(server) = self.servers.get_mut(&listing.id) {
            self.pool_versions.record_seen(&server.listing, now);
            if server.is_same_incarnation(&listing) {
                let is_changed = server.listing != listing || server.unlisted_at.is_some();
                server.listing = listing;
                server.warm_up.rule = warm_up;
                server.unlisted_at = None;
                server.has_refused_connection = false;
                return is_changed;
            }
        }
        self.forget_cached_prefixes(&listing.id);
        let mut server = ServerState::new(listing, now);
        server.warm_up.rule = warm_up;
        self.servers.insert(server.listing.id.clone(), server);
        true
    }

    /// Marks a server as no longer listed; returns false if it was not listed.
    ///
    /// Also removes servers that have been unlisted for long and have no requests in progress.
    pub fn mark_unlisted(&mut self, server_id: &str, now: Uptime) -> bool {
        let ending_use_time = self.ending_use_time;
        self.servers.retain(|_, server| {
            server.in_flight_count > 0
                || server.unlisted_at.is_none_or(|at| now < at + ending_use_time)
        });
        let Some(server) = self.servers.get_mut(server_id) else {
            return false;
        };
        let was_listed = server.unlisted_at.is_none();
        server.unlisted_at.get_or_insert(now);
        self.pool_versions.record_seen(&server.listing, now);
        was_listed
    }

    /// Marks every server as no longer listed that a complete read of the list does not contain.
    pub fn mark_unlisted_except(&mut self, listed: &[BackendServerId], now: Uptime) {
        let missing: Vec<_> =
            self.servers.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for server_id in missing {
            self.mark_unlisted(&server_id, now);
        }
    }

    /// Records that a connection to a server could not be opened.
    pub fn record_refused_connection(&mut self, server_id: &str) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.has_refused_connection = true;
        }
    }

    /// Forgets the failures of attempts on a server that other VMs reach and this VM does not: its path
    /// failed, not the server.
    pub fn forget_failures(&mut self, server_id: &str) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.forget_failures();
        }
    }

    /// Returns the ids of the servers of a pool that are in the directory.
    pub fn servers_of(&self, pool_id: &str) -> Vec<BackendServerId> {
        let in_pool = self.servers.values().filter(|server| server.listing.pool_id == pool_id);
        in_pool.map(|server| server.listing.id.clone()).collect()
    }

    /// Returns the newest listings of all servers.
    pub fn listings(&self) -> impl Iterator<Item = &ServerListing> {
        self.servers.values().map(|server| &server.listing)
    }

    /// Returns what the servers of a pool other than `server_id` sent, and whether one of them could
    /// take a request with these requirements.
    pub fn other_servers(
        &mut self,
        server_id: &str,
        requirements: &ServerRequirements,
        now: Uptime,
    ) -> OtherServers {
        let ending_use_time = self.ending_use_time;
        let evacuations = &self.evacuations;
        let mut others = OtherServers::default();
        for server in self.servers.values_mut().filter(|server| {
            server.listing.pool_id == requirements.pool_id && server.listing.id != server_id
        }) {
            server.breaker.advance(now);
            let is_silent = server.is_silent(now);
            let heard_at = server.last_bytes_at();
            others.heard_at = others.heard_at.max(heard_at);
            others.speaking_count +=
                usize::from(heard_at.is_some_and(|at| now.saturating_sub(at) < SILENT_TIME));
            others.silent_count += usize::from(is_silent);
            others.has_substitute |= !is_silent
                && !evacuations.is_evacuated(&server.listing.data_centre_id)
                && server.may_take(requirements, now)
                && server.breaker.allows_attempt()
                && (server.accepts_requests() || server.is_ending_recently(ending_use_time, now));
        }
        others
    }

    /// Returns the listing of another server that accepts requests; at best one that this VM has heard
    /// from last.
    pub fn another_server(&self, server_id: &str) -> Option<&ServerListing> {
        let others = self.servers.values().filter(|server| server.listing.id != server_id);
        let server = others
            .filter(|server| server.accepts_requests())
            .max_by_key(|server| (server.breaker.allows_attempt(), server.last_activity_at()))?;
        Some(&server.listing)
    }

    /// Returns whether a server has the software version of its listing: it has not started again
    /// under its id, as far as the list and the connections to it show.
    pub fn is_version_certain(&self, listing: &ServerListing, now: Uptime) -> bool {
        self.servers.get(&listing.id).is_none_or(|server| {
            server.is_same_incarnation(listing)
                && (self.pool_versions.is_current(now) || !server.has_refused_connection)
        })
    }

    /// Returns the listing of the server at which a stream began, while this incarnation of it is
    /// listed.
    pub fn origin_listing(&self, origin: &StreamOrigin) -> Option<&ServerListing> {
        let server = self.servers.get(&origin.server_id).filter(|s| s.unlisted_at.is_none())?;
        let listing = &server.listing;
        let is_same = listing.started_at_unix_ms == origin.started_at_unix_ms
            && listing.software_version == origin.software_version;
        is_same.then_some(listing)
    }

    /// Returns how old the knowledge is that a server is of the incarnation of `listing`: the age of
    /// the list, or of the entry if that is newer; `None` if it is not known at all.
    pub fn incarnation_age(&self, listing: &ServerListing, now: Uptime) -> Option<Duration> {
        let server = self.servers.get(&listing.id).filter(|s| s.is_same_incarnation(listing))?;
        let entry_age = now.saturating_sub(server.listed_at);
        self.pool_versions.list_age(now).map(|list_age| list_age.min(entry_age))
    }

    /// Returns whether a stream that began at `began_at` may have begun at a later incarnation of
    /// its server than its origin names, because entries are read late.
    pub fn is_origin_doubtful(&self, origin: &StreamOrigin, began_at: Uptime) -> bool {
        self.servers.get(&origin.server_id).is_some_and(|server| {
            server.listing.software_version != origin.software_version
                && server.listed_at <= began_at + MAX_ENTRY_DELAY
        })
    }

    /// Returns whether the list shows that the server of an origin may have started again before the
    /// stream began. Unlike for [`Self::is_origin_doubtful`], an earlier incarnation in the list does
    /// not count: then only the list is late.
    pub fn is_origin_outdated(&self, origin: &StreamOrigin, began_at: Uptime) -> bool {
        self.is_origin_doubtful(origin, began_at)
            && self
                .servers
                .get(&origin.server_id)
                .is_some_and(|server| server.listing.started_at_unix_ms > origin.started_at_unix_ms)
    }

    /// Returns whether a server of a pool with this software version is listed.
    pub fn has_version(&self, pool_id: &str, version: &str) -> bool {
        self.servers.values().any(|server| {
            server.listing.pool_id == pool_id
                && server.listing.software_version == version
                && server.unlisted_at.is_none()
        })
    }

    /// Returns the version of all servers that a pool has had in the last `duration`; `None` if
    /// there were several, or if that is not known. `unapplied` are the entries of the list that
    /// the directory does not contain yet.
    pub fn sole_version(
        &self,
        pool_id: &str,
        duration: Duration,
        unapplied: &[ServerListing],
        now: Uptime,
    ) -> Option<SoftwareVersion> {
        let listings = self.servers.values().map(|server| &server.listing).chain(unapplied);
        self.pool_versions.sole_version(pool_id, duration, listings, now).cloned()
    }

    /// Returns how long the entry of a server that started again may still be missing from the list;
    /// `None` if the list is not read.
    pub fn entry_delay_left(&self, now: Uptime) -> Option<Duration> {
        let read_for = self.pool_versions.read_without_gap_for(now)?;
        Some(MAX_ENTRY_DELAY.saturating_sub(read_for))
    }

    /// Chooses the server with the lowest cost for one attempt and counts the attempt as started.
    ///
    /// `random` adds a small random cost, which spreads requests over servers of similar cost.
    pub fn choose(
        &mut self,
        requirements: &ServerRequirements,
        random: u64,
        now: Uptime,
    ) -> Option<ServerChoice> {
        let chosen = self.find(requirements, random, now)?;
        self.begin_attempt(&chosen, requirements, now);
        Some(chosen)
    }

    /// Finds the server with the lowest cost for one attempt, among those without a limit and those
    /// for which a permit may be available.
    pub fn find(
        &mut self,
        requirements: &ServerRequirements,
        random: u64,
        now: Uptime,
    ) -> Option<ServerChoice> {
        for server in self.servers.values_mut() {
            server.breaker.advance(now);
        }
        self.find_cheapest(requirements, random, now)
    }

    /// Finds the server for which a permit is available first, among those for which none is
    /// available now.
    pub fn find_next_permitted(
        &self,
        requirements: &ServerRequirements,
        now: Uptime,
    ) -> Option<ServerChoice> {
        let waiting = self.servers.values().filter(|server| {
            server.may_take(requirements, now)
                && !self.is_evacuated(server)
                && server.accepts_requests()
                && server.is_responsive(now)
                && !server.permit_wait(now).is_zero()
        });
        let server = waiting.min_by_key(|server| server.permit_wait(now))?;
        let prefill_tokens = self.estimate_prefill_tokens(server, requirements, None, now);
        Some(ServerChoice {
            listing: server.listing.clone(),
            cost_ms: self.cost_ms(server, requirements, prefill_tokens, now),
            prefill_tokens,
            needs_permit: true,
            placement: self.placement(server, requirements, prefill_tokens, now),
        })
    }

    /// Returns whether the data centre of a server is evacuated.
    fn is_evacuated(&self, server: &ServerState) -> bool {
        self.evacuations.is_evacuated(&server.listing.data_centre_id)
    }

    /// Returns whether a data centre has servers in the directory.
    pub fn has_servers_in(&self, data_centre_id: &str) -> bool {
        self.servers.values().any(|server| server.listing.data_centre_id == data_centre_id)
    }

    /// Counts an attempt on a server that was found as started; returns false if the server takes
    /// no requests any more.
    pub fn begin_attempt(
        &mut self,
        found: &ServerChoice,
        requirements: &ServerRequirements,
        now: Uptime,
    ) -> bool {
        let server_id = &found.listing.id;
        let ending_use_time = self.ending_use_time;
        let evacuations = &self.evacuations;
        let Some(server) = self.servers.get_mut(server_id).filter(|server| {
            server.may_take(requirements, now)
                && !evacuations.is_evacuated(&server.listing.data_centre_id)
                && (server.accepts_requests() || server.is_ending_recently(ending_use_time, now))
        }) else {
            return false;
        };
        server.begin_attempt(found.prefill_tokens, now);
        if let Some(speed) = &server.speed {
            let pool_id = &requirements.pool_id;
            let usual = usual_tokens_per_ms(&self.usual_speeds, pool_id);
            let is_certain = found.prefill_tokens == requirements.suffix_tokens;
            let tokens_per_ms = speed.tokens_per_ms(usual) / speed.slowness(now);
            server.backlog.begin(found.prefill_tokens, is_certain, tokens_per_ms, now);
            if found.prefill_tokens > 0 {
                let prompts = self.recent_prompts.entry(pool_id.clone()).or_default();
                prompts.record(found.prefill_tokens, now);
            }
        }
        if let Some(prefix_id) = &requirements.prefix_id {
            self.record_cached_prefix(server_id, prefix_id, now);
        }
        true
    }

    /// Records that bytes of a response arrived.
    pub fn record_bytes(&mut self, server_id: &str, now: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.record_activity(now);
        }
    }

    /// Records the load that a server reported in a response.
    pub fn record_load(&mut self, server_id: &str, load: ReportedLoad, now: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.record_load(load, now);
            if let Some(percent) = load.slowness_percent {
                server.speed.get_or_insert_default().record_slowness(percent, now);
            }
            if let Some(prompts) = self.recent_prompts.get(&server.listing.pool_id) {
                let running = f64::from(load.running_count.saturating_sub(server.in_flight_count));
                let waiting = f64::from(load.waiting_count);
                server.backlog.record_report(running, waiting, prompts.mean_tokens(), now);
            }
        }
    }

    /// Records that a response of a server said that the server leaves; returns whether that is new.
    pub fn record_leaving(&mut self, server_id: &str, now: Uptime) -> bool {
        let Some(server) = self.servers.get_mut(server_id) else {
            return false;
        };
        let is_new = server.leaving_since.is_none();
        server.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that a server turned a request away and wants no requests for the time of `pause`.
    pub fn record_pause(&mut self, server_id: &str, pause: Duration, now: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.record_pause(pause, now);
        }
    }

    /// Records how many rejections a second a server says that it tolerates; returns whether that is new.
    pub fn record_brittle(
        &mut self,
        server_id: &str,
        max_rejections_per_s: Option<u32>,
        now: Uptime,
    ) -> bool {
        let server = self.servers.get_mut(server_id);
        server.is_some_and(|server| server.record_brittle(max_rejections_per_s, now))
    }

    /// Records whether this VM is one of the few that use a server while it is brittle.
    pub fn record_brittle_use(&mut self, server_id: &str, is_used: bool, now: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.is_used_while_brittle = is_used;
            server.brittle_use_found_at = now;
        }
    }

    /// Returns whether it should be found out again whether this VM uses a brittle server.
    pub fn is_brittle_use_due(&self, server_id: &str, now: Uptime) -> bool {
        self.servers
            .get(server_id)
            .is_some_and(|server| now >= server.brittle_use_found_at + BRITTLE_USE_INTERVAL)
    }

    /// Records that a server turned a request away; returns for how long this VM sends it none, if it
    /// says that it fails after a few rejections. `random` is from 0 to 1.
    pub fn record_rejection(
        &mut self,
        server_id: &str,
        by: RejectedBy,
        random: f64,
        now: Uptime,
    ) -> Option<Duration> {
        self.servers.get_mut(server_id)?.record_rejection(by, random, now)
    }

    /// Replaces how the servers of the pools warm up.
    pub fn set_warm_ups(&mut self, warm_ups: BTreeMap<PoolId, PoolWarmUp>) {
        for server in self.servers.values_mut() {
            server.warm_up.rule = warm_ups.get(&server.listing.pool_id).copied();
        }
        self.warm_ups = warm_ups;
    }

    /// Records how long a server says that it stays cold. One that was added at `now`, to a list that
    /// was read before, has started during traffic. Returns whether the server has turned cold.
    pub fn record_warm_up(
        &mut self,
        server_id: &str,
        left: Duration,
        was_list_read: bool,
        now: Uptime,
    ) -> bool {
        let Some(server) = self.servers.get_mut(server_id) else {
            return false;
        };
        let was_warm = server.warm_up_left(now).is_zero();
        if was_list_read && server.listed_at == now {
            server.warm_up.record_appeared(now);
        }
        server.warm_up.record_stated(left, now);
        was_warm && !server.warm_up_left(now).is_zero()
    }

    /// Records what a response says about the limit of its server; returns the limit if it has
    /// changed. `sent_at` is when the request of that response was sent.
    pub fn record_limit(
        &mut self,
        server_id: &str,
        statement: LimitStatement,
        sent_at: Uptime,
        now: Uptime,
    ) -> Option<ServerLimit> {
        let server = self.servers.get_mut(server_id)?;
        server.limit.record(statement, sent_at, now).then_some(server.limit)
    }

    /// Records what another VM reports about the limit of a server; returns the limit if it has
    /// changed. `max_transit` bounds the time since the report was sent.
    pub fn record_limit_report(
        &mut self,
        server_id: &str,
        report: &LimitReport,
        max_transit: Duration,
        now: Uptime,
    ) -> Option<ServerLimit> {
        let server = self.servers.get_mut(server_id)?;
        server.limit.record_report(report, max_transit, now).then_some(server.limit)
    }

    /// Records that no permit for a server can be obtained before `at`.
    pub fn record_next_permit(&mut self, server_id: &str, at: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.record_next_permit(at);
        }
    }

    /// Returns the time until the first server of a pool takes requests again; zero if one does, or
    /// if none is listed.
    pub fn pause_left(&self, pool_id: &str, now: Uptime) -> Duration {
        let in_pool = self.servers.values().filter(|server| server.listing.pool_id == pool_id);
        let pauses = in_pool.filter(|s| s.accepts_requests()).map(|s| s.pause_left(now));
        pauses.min().unwrap_or_default()
    }

    /// Records that a response started `waited` after the attempt, which ends the prefill.
    pub fn record_response_start(
        &mut self,
        server_id: &str,
        prefill_tokens: Tokens,
        waited: Duration,
    ) {
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        server.end_pending(prefill_tokens);
        let ended = server.backlog.end(prefill_tokens);
        if let (Some(speed), Some((sent_at, tokens))) = (&mut server.speed, ended) {
            let now = sent_at + waited;
            if prefill_tokens == 0 {
                speed.record_response(waited, now);
            } else if let Some(tokens) = tokens.filter(|tokens| *tokens >= MIN_SPEED_SAMPLE_TOKENS)
            {
                let pool_id = &server.listing.pool_id;
                let usual = usual_tokens_per_ms(&self.usual_speeds, pool_id);
                let prompt_time = self.response_overhead.prompt_time(waited);
                speed.record_prompt(tokens, prompt_time, usual, now);
                let slowness = speed.slowness(now);
                let usual_time = prompt_time.div_f64(slowness);
                let pool = self.usual_speeds.entry(pool_id.clone()).or_default();
                pool.record_prompt(tokens, usual_time, usual, now);
                let tokens_per_ms = speed.tokens_per_ms(usual) / slowness;
                self.response_overhead.record(tokens, waited, tokens_per_ms);
            }
            return;
        }
        if prefill_tokens >= MIN_PREFILL_SAMPLE_TOKENS && !waited.is_zero() {
            let sample = prefill_tokens as f64 / (waited.as_secs_f64() * 1_000.0);
            self.prefill_tokens_per_ms +=
                PREFILL_SAMPLE_WEIGHT * (sample - self.prefill_tokens_per_ms);
        }
    }

    /// Records that an attempt ended before a response started.
    pub fn record_no_response(&mut self, server_id: &str, prefill_tokens: Tokens) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.end_pending(prefill_tokens);
            server.backlog.end(prefill_tokens);
        }
    }

    /// Records how an attempt ended.
    pub fn end_attempt(&mut self, server_id: &str, verdict: AttemptVerdict, now: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.end_attempt(verdict, now);
        }
        if verdict == AttemptVerdict::Failed {
            self.forget_cached_prefixes(server_id);
        }
    }

    fn find_cheapest(
        &self,
        requirements: &ServerRequirements,
        random: u64,
        now: Uptime,
    ) -> Option<ServerChoice> {
        let in_pool = |server: &&ServerState| {
            server.may_take(requirements, now)
                && !self.is_evacuated(server)
                && server.permit_wait(now).is_zero()
        };
        let mut usable: Vec<&ServerState> =
            self.servers.values().filter(in_pool).filter(|s| s.accepts_requests()).collect();
        if usable.is_empty() {
            let is_recent = |s: &&ServerState| s.is_ending_recently(self.ending_use_time, now);
            usable = self.servers.values().filter(in_pool).filter(is_recent).collect();
        }
        let uses_any = |s: &ServerState| {
            s.fits(requirements) && !self.is_evacuated(s) && s.accepts_requests() && s.is_used(now)
        };
        if self.servers.values().any(uses_any) {
            usable.retain(|server| server.is_used(now));
        }
        if usable.iter().any(|server| server.is_responsive(now)) {
            usable.retain(|server| server.is_responsive(now));
        }
        // The server before may have been given up for its silence.
        if !requirements.excluded.is_empty() && usable.iter().any(|server| !server.is_silent(now)) {
            usable.retain(|server| !server.is_silent(now));
        }
        let preferred = requirements.prefix_id.as_deref().and_then(|prefix_id| {
            choose_owner(prefix_id, usable.iter().map(|server| server.listing.id.as_str()))
        });
        let costs = usable.iter().enumerate().map(|(index, server)| {
            let prefill_tokens = self.estimate_prefill_tokens(server, requirements, preferred, now);
            let jitter =
                MAX_JITTER_MS * (random.rotate_left(index as u32 * 7) % 1_000) as f64 / 1_000.0;
            let cost_ms = self.cost_ms(server, requirements, prefill_tokens, now);
            (cost_ms + jitter, prefill_tokens, *server)
        });
        let (cost_ms, prefill_tokens, server) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(ServerChoice {
            listing: server.listing.clone(),
            cost_ms,
            prefill_tokens,
            needs_permit: server.limit_per_s(now).is_some(),
            placement: self.placement(server, requirements, prefill_tokens, now),
        })
    }

    fn estimate_prefill_tokens(
        &self,
        server: &ServerState,
        requirements: &ServerRequirements,
        preferred: Option<&str>,
        now: Uptime,
    ) -> Tokens {
        let Some(prefix_id) = &requirements.prefix_id else {
            return requirements.suffix_tokens;
        };
        let server_id = &server.listing.id;
        let used_at = self.cached_prefixes.get(&(server_id.clone(), prefix_id.clone()));
        if used_at.is_some_and(|at| now < *at + self.cache_window) {
            return requirements.suffix_tokens;
        }
        if preferred == Some(server_id) {
            return requirements.suffix_tokens
                + (requirements.prefix_tokens as f64 * PREFERRED_UNCACHED_FRACTION) as Tokens;
        }
        // For a server with a known speed, the delay of others is not a part of the prefill.
        let weight = if server.speed.is_some() { 1 } else { UNCACHED_TOKEN_WEIGHT };
        requirements.suffix_tokens + requirements.prefix_tokens * weight
    }

    /// Returns the share of the servers that long prompts prefer, if the servers report their
    /// slowness and the target latencies of the pool are known.
    /// Returns what the cost of a server follows from, if it reports its slowness.
    fn placement(
        &self,
        server: &ServerState,
        requirements: &ServerRequirements,
        prefill_tokens: Tokens,
        now: Uptime,
    ) -> Option<PlacementCost> {
        let speed = server.speed.as_ref()?;
        let usual = usual_tokens_per_ms(&self.usual_speeds, &requirements.pool_id);
        let tokens_per_ms = speed.tokens_per_ms(usual);
        let slowness = speed.slowness(now);
        let uncached = prefill_tokens.saturating_sub(requirements.suffix_tokens);
        let is_repeated = uncached > 0 && uncached == requirements.prefix_tokens;
        Some(PlacementCost {
            tokens_ahead: server.backlog.tokens_ahead(tokens_per_ms / slowness, now),
            prefill_tokens: prefill_tokens as f64,
            repeated_tokens: if is_repeated { uncached as f64 } else { 0.0 },
            tokens_per_ms,
            response_ms: speed.response_ms(),
            slowness,
            slowness_age: speed.slowness_age(now),
            request_count: server.expected_request_count(now),
            slot_count: f64::from(server.listing.slot_count.max(1)),
        })
    }

    fn cost_ms(
        &self,
        server: &ServerState,
        requirements: &ServerRequirements,
        prefill_tokens: Tokens,
        now: Uptime,
    ) -> f64 {
        let placement = self.placement(server, requirements, prefill_tokens, now);
        let work_ms = if let Some(placement) = placement {
            placement.total_ms()
        } else {
            let queued_tokens = server.pending_prefill_tokens + prefill_tokens;
            let prefill_ms = queued_tokens as f64 / self.prefill_tokens_per_ms;
            let slots = f64::from(server.listing.slot_count.max(1));
            let slot_use = server.expected_request_count(now) / slots;
            let load_ms =
                FULL_SLOTS_COST_MS * (slot_use + QUEUE_COST_FACTOR * (slot_use - 1.0).max(0.0));
            prefill_ms + load_ms
        };
        let unresponsive_ms = server.excess_unresponsive_time(now).as_secs_f64() * 1_000.0;
        let failing_ms = FAILING_COST_MS * server.failure_rate(now);
        let is_remote = server.listing.data_centre_id != self.data_centre_id;
        let remote_ms = if is_remote { REMOTE_COST_MS } else { 0.0 };
        work_ms + unresponsive_ms + failing_ms + remote_ms
    }

    fn record_cached_prefix(&mut self, server_id: &str, prefix_id: &str, now: Uptime) {
        if self.cached_prefixes.len() >= MAX_KEPT_PARTS {
            let window = self.cache_window;
            self.cached_prefixes.retain(|_, used_at| now < *used_at + window);
        }
        self.cached_prefixes.insert((server_id.to_owned(), prefix_id.to_owned()), now);
    }

    fn forget_cached_prefixes(&mut self, server_id: &str) {
        self.cached_prefixes.retain(|(cached_by, _), _| cached_by != server_id);
    }
}

fn usual_tokens_per_ms(usual_speeds: &HashMap<PoolId, ServerSpeed>, pool_id: &str) -> f64 {
    let initial = INITIAL_PREFILL_TOKENS_PER_MS;
    usual_speeds.get(pool_id).map_or(initial, |speed| speed.tokens_per_ms(initial))
}
