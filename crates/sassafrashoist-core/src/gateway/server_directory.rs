//! The backend servers and the choice among them.
//!
//! Each server gets a cost: the time in which it is expected to begin the answer. An engine first
//! reads the part of the prompt that it does not keep, after the prompts that wait there. All VMs
//! agree by rendezvous hashing, without messages, which server keeps the part of a prompt that
//! belongs to a session, and leave it for another as soon as that one is expected to begin sooner.
//! Crowded, silent and failing servers cost more, so a server is found out by its answers to
//! requests.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::server_listing::ServerListing;
use super::server_state::{ReportedLoad, ServerState};
use super::{PromptPartId, Uptime};
use crate::ids::{BackendServerId, DataCentreId, PoolId, Tokens};
use crate::rendezvous::choose_owner;
use crate::routing::circuit_breaker::AttemptVerdict;

/// How fast engines read prompts until it is known, in tokens a millisecond.
const FIRST_READ_TOKENS_PER_MS: f64 = 50.0;
/// The weight of one sample of the reading speed.
const READ_SAMPLE_WEIGHT: f64 = 0.05;
/// The shortest prompt whose time to the first event tells the reading speed, in tokens.
const MIN_READ_SAMPLE_TOKENS: u64 = 4_000;
/// The part of a shared prompt that the preferred server is expected to have to read.
const PREFERRED_READ_PART: f64 = 0.3;
/// How much more a token weighs that another server keeps already: reading it again also takes time
/// from the other requests there.
const READ_AGAIN_WEIGHT: Tokens = 2;
/// What a server with all slots taken costs more than an idle one, in milliseconds.
const FULL_COST_MS: f64 = 120.0;
/// What each request beyond the slots costs, as a part of the cost of all slots.
const QUEUE_COST_PART: f64 = 4.0;
/// What a server that fails every request costs, in milliseconds.
const FAILING_COST_MS: f64 = 1_500.0;
/// What a server in another data centre costs, in milliseconds.
const REMOTE_COST_MS: f64 = 4.0;
/// The most that chance adds to a cost, in milliseconds.
const JITTER_MS: f64 = 3.0;
/// The part of its drain timeout for which an unlisted server may serve when its pool has no other.
const UNLISTED_USE_PART: f64 = 0.75;
/// The most parts of prompts that are remembered.
const MAX_KEPT_PARTS: usize = 4_096;

/// What a request needs of its server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerNeed {
    /// The pool.
    pub pool_id: PoolId,
    /// The part of the prompt that a session's requests share, with all before it.
    pub shared_part: Option<PromptPartId>,
    /// The tokens up to the end of that part.
    pub shared_tokens: Tokens,
    /// The tokens after it.
    pub own_tokens: Tokens,
    /// Servers that failed this request.
    pub excluded: Vec<BackendServerId>,
}

/// The server for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenListing {
    /// The server.
    pub listing: ServerListing,
    /// The time in which it is expected to begin the answer, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that it is expected to read.
    pub prompt_tokens: Tokens,
}

/// The backend servers and the choice among them.
#[derive(Debug)]
pub struct ServerDirectory {
    servers: BTreeMap<BackendServerId, ServerState>,
    kept_parts: HashMap<(BackendServerId, PromptPartId), Uptime>,
    data_centre_id: DataCentreId,
    cache_window: Duration,
    unlisted_use: Duration,
    read_tokens_per_ms: f64,
}

impl ServerDirectory {
    /// Creates a directory without servers for a VM of a data centre.
    pub fn new(
        data_centre_id: DataCentreId,
        cache_window: Duration,
        drain_timeout: Duration,
    ) -> Self {
        Self {
            servers: BTreeMap::new(),
            kept_parts: HashMap::new(),
            data_centre_id,
            cache_window,
            unlisted_use: drain_timeout.mul_f64(UNLISTED_USE_PART),
            read_tokens_per_ms: FIRST_READ_TOKENS_PER_MS,
        }
    }

    /// Returns a server.
    pub fn server(&self, server_id: &str) -> Option<&ServerState> {
        self.servers.get(server_id)
    }

    /// Takes over what a server says of itself; true when that changed.
    pub fn list(&mut self, listing: ServerListing, now: Uptime) -> bool {
        if let Some(known) = self.servers.get_mut(&listing.id)
            && known.listing.started_at_unix_ms == listing.started_at_unix_ms
            && known.listing.address == listing.address
        {
            let is_changed = known.listing != listing || known.unlisted_at.is_some();
            known.listing = listing;
            known.unlisted_at = None;
            return is_changed;
        }
        self.forget_parts_of(&listing.id);
        self.servers.insert(listing.id.clone(), ServerState::new(listing, now));
        true
    }

    /// Takes a server out of the list; false when it was not there.
    pub fn unlist(&mut self, server_id: &str, now: Uptime) -> bool {
        let unlisted_use = self.unlisted_use;
        self.servers.retain(|_, server| {
            server.in_flight_count > 0
                || server.unlisted_at.is_none_or(|at| now < at + unlisted_use)
        });
        let Some(server) = self.servers.get_mut(server_id) else {
            return false;
        };
        let is_new = server.unlisted_at.is_none();
        server.unlisted_at.get_or_insert(now);
        is_new
    }

    /// Takes out every listed server that a whole reading of the list does not name.
    pub fn unlist_others(&mut self, listed: &[BackendServerId], now: Uptime) {
        let missing: Vec<_> =
            self.servers.keys().filter(|known| !listed.contains(known)).cloned().collect();
        for server_id in missing {
            self.unlist(&server_id, now);
        }
    }

    /// Chooses the server for one attempt and counts the attempt as begun there.
    pub fn choose(&mut self, need: &ServerNeed, draw: u64, now: Uptime) -> Option<ChosenListing> {
        for server in self.servers.values_mut() {
            server.breaker.advance(now);
        }
        let chosen = self.cheapest(need, draw, now)?;
        if let Some(part) = &need.shared_part {
            self.remember_part(&chosen.listing.id, part, now);
        }
        if let Some(server) = self.servers.get_mut(&chosen.listing.id) {
            server.begin(chosen.prompt_tokens, now);
        }
        Some(chosen)
    }

    /// Records bytes of an answer.
    pub fn record_bytes(&mut self, server_id: &str, now: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.hear(now);
        }
    }

    /// Records what an answer says of a server's load.
    pub fn record_load(&mut self, server_id: &str, load: ReportedLoad, now: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.record_load(load, now);
        }
    }

    /// Records that an answer began, `waited` after the attempt: the prompt is read.
    pub fn record_begun(&mut self, server_id: &str, prompt_tokens: Tokens, waited: Duration) {
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        let ahead_tokens = server.pending_prompt_tokens;
        server.pending_prompt_tokens = ahead_tokens.saturating_sub(prompt_tokens);
        if prompt_tokens >= MIN_READ_SAMPLE_TOKENS && !waited.is_zero() {
            let sample = prompt_tokens as f64 / (waited.as_secs_f64() * 1_000.0);
            self.read_tokens_per_ms += READ_SAMPLE_WEIGHT * (sample - self.read_tokens_per_ms);
        }
    }

    /// Records that an attempt ended without an answer having begun.
    pub fn record_unbegun(&mut self, server_id: &str, prompt_tokens: Tokens) {
        if let Some(server) = self.servers.get_mut(server_id) {
            let pending = server.pending_prompt_tokens;
            server.pending_prompt_tokens = pending.saturating_sub(prompt_tokens);
        }
    }

    /// Records how an attempt ended.
    pub fn end(&mut self, server_id: &str, verdict: AttemptVerdict, now: Uptime) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.end(verdict, now);
        }
        if verdict == AttemptVerdict::Failed {
            self.forget_parts_of(server_id);
        }
    }

    fn cheapest(&self, need: &ServerNeed, draw: u64, now: Uptime) -> Option<ChosenListing> {
        let in_pool = |server: &&ServerState| {
            server.listing.pool_id == need.pool_id && !need.excluded.contains(&server.listing.id)
        };
        let mut usable: Vec<&ServerState> =
            self.servers.values().filter(in_pool).filter(|s| s.takes_requests()).collect();
        if usable.is_empty() {
            let is_recent =
                |s: &&ServerState| s.unlisted_at.is_some_and(|at| now < at + self.unlisted_use);
            usable = self.servers.values().filter(in_pool).filter(is_recent).collect();
        }
        if usable.iter().any(|server| server.is_responsive(now)) {
            usable.retain(|server| server.is_responsive(now));
        }
        let preferred = need.shared_part.as_deref().and_then(|part| {
            choose_owner(part, usable.iter().map(|server| server.listing.id.as_str()))
        });
        let costs = usable.iter().enumerate().map(|(place, server)| {
            let read_tokens = self.tokens_to_read(server, need, preferred, now);
            let jitter = JITTER_MS * (draw.rotate_left(place as u32 * 7) % 1_000) as f64 / 1_000.0;
            (self.cost_ms(server, read_tokens, now) + jitter, read_tokens, *server)
        });
        let (cost_ms, prompt_tokens, server) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(ChosenListing { listing: server.listing.clone(), cost_ms, prompt_tokens })
    }

    fn tokens_to_read(
        &self,
        server: &ServerState,
        need: &ServerNeed,
        preferred: Option<&str>,
        now: Uptime,
    ) -> Tokens {
        let Some(part) = &need.shared_part else {
            return need.own_tokens;
        };
        let server_id = &server.listing.id;
        let used_at = self.kept_parts.get(&(server_id.clone(), part.clone()));
        if used_at.is_some_and(|at| now < *at + self.cache_window) {
            return need.own_tokens;
        }
        if preferred == Some(server_id) {
            return need.own_tokens + (need.shared_tokens as f64 * PREFERRED_READ_PART) as Tokens;
        }
        need.own_tokens + need.shared_tokens * READ_AGAIN_WEIGHT
    }

    fn cost_ms(&self, server: &ServerState, read_tokens: Tokens, now: Uptime) -> f64 {
        let tokens = server.pending_prompt_tokens + read_tokens;
        let read_ms = tokens as f64 / self.read_tokens_per_ms;
        let slots = f64::from(server.listing.slot_count.max(1));
        let taken = server.expected_count(now) / slots;
        let crowding_ms = FULL_COST_MS * (taken + QUEUE_COST_PART * (taken - 1.0).max(0.0));
        let silence_ms = server.suspicious_silence(now).as_secs_f64() * 1_000.0;
        let failing_ms = FAILING_COST_MS * server.failed_part(now);
        let is_remote = server.listing.data_centre_id != self.data_centre_id;
        let remote_ms = if is_remote { REMOTE_COST_MS } else { 0.0 };
        read_ms + crowding_ms + silence_ms + failing_ms + remote_ms
    }

    fn remember_part(&mut self, server_id: &str, part: &str, now: Uptime) {
        if self.kept_parts.len() >= MAX_KEPT_PARTS {
            let window = self.cache_window;
            self.kept_parts.retain(|_, used_at| now < *used_at + window);
        }
        self.kept_parts.insert((server_id.to_owned(), part.to_owned()), now);
    }

    fn forget_parts_of(&mut self, server_id: &str) {
        self.kept_parts.retain(|(kept_by, _), _| kept_by != server_id);
    }
}
