//! One router's table of the backend servers.
//!
//! Each server belongs to the group of its pool and to one group for each model that it has loaded.
//! A group has the set of its servers that may take one more request. [`RoutingTable`] updates the
//! set whenever a request begins or ends, a breaker changes its state or a server leaves. An open
//! breaker has a timer in `probe_times`, so that it half-opens even if no event of its server
//! arrives.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::cache_event::{CacheChange, CacheEventPage};
use super::circuit_breaker::{AttemptVerdict, BreakerState};
use super::concurrency_limit::LoadSignal;
use super::load_estimate::EstimateInputs;
use super::prefix_index::PrefixIndex;
use super::server_entry::{GroupIndex, ServerEntry, ServerIndex, ServerLimit};
use super::server_group::{GroupKey, ServerGroup};
use super::server_view::{LoadReport, ServerView};
use crate::ids::{BackendServerId, DataCentreId, Timestamp};

/// The service time assumed until one has been measured.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_secs(1);

/// How an attempt on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptEnd {
    /// What the attempt shows about the server's health.
    pub verdict: AttemptVerdict,
    /// What the attempt shows about the server's load.
    pub signal: Option<LoadSignal>,
    /// How long the server worked on the attempt; none if the attempt did not begin.
    pub service_time: Option<Duration>,
}

impl AttemptEnd {
    /// The end of an attempt that was never sent.
    pub const NOT_SENT: AttemptEnd =
        AttemptEnd { verdict: AttemptVerdict::Neutral, signal: None, service_time: None };
}

/// All backend servers of the active bundle.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Index of the servers that likely cache a prompt's prefix.
    pub prefixes: PrefixIndex,
    pub(super) entries: Vec<ServerEntry>,
    pub(super) groups: Vec<ServerGroup>,
    group_index: HashMap<GroupKey, GroupIndex>,
    index_by_id: BTreeMap<BackendServerId, ServerIndex>,
    probe_times: BTreeSet<(Timestamp, ServerIndex)>,
    free_indices: Vec<ServerIndex>,
    data_centre_id: DataCentreId,
    router_count: u32,
}

impl RoutingTable {
    /// Creates a table for one of `router_count` routers of a data centre.
    pub fn new(data_centre_id: DataCentreId, router_count: u32) -> Self {
        Self { data_centre_id, router_count, ..Self::default() }
    }

    /// Replaces the listed servers by those of a bundle and keeps the state of servers that remain.
    ///
    /// The entry of an unlisted server is kept until its last request has ended.
    pub fn replace_servers(&mut self, servers: Vec<ServerView>) {
        self.group_index.clear();
        self.groups.clear();
        for entry in &mut self.entries {
            entry.leave_groups();
        }
        for view in servers {
            let index = self.upsert_server(view);
            self.join_groups(index);
            self.update_availability(index);
        }
        self.remove_unlisted_idle_servers();
    }

    /// Returns all listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerView> {
        let entries = self.index_by_id.values().map(|index| &self.entries[*index as usize]);
        entries.filter(|entry| entry.is_listed).map(|entry| &entry.view)
    }

    /// Returns one server, if the active bundle lists it.
    pub fn server(&self, server_id: &str) -> Option<&ServerView> {
        let entry = self.entry(server_id).filter(|entry| entry.is_listed);
        entry.map(|entry| &entry.view)
    }

    /// Returns this router's limit on each listed server.
    pub fn limits(&self) -> BTreeMap<BackendServerId, ServerLimit> {
        let listed = self.servers().filter_map(|view| self.entry(&view.server_id));
        let limits = listed.map(|entry| {
            let limit_count = entry.limit.count();
            let breaker = entry.breaker.state();
            (entry.view.server_id.clone(), ServerLimit { limit_count, breaker })
        });
        limits.collect()
    }

    /// Returns the state of a server's circuit breaker.
    pub fn breaker_state(&self, server_id: &str) -> Option<BreakerState> {
        self.entry(server_id).map(|entry| entry.breaker.state())
    }

    /// Returns how many requests this router may have in progress on a server.
    pub fn limit_count(&self, server_id: &str) -> Option<u32> {
        self.entry(server_id).map(|entry| entry.limit.count())
    }

    /// Returns a group of servers, if the active bundle lists any server in it.
    pub fn group(&self, key: &GroupKey) -> Option<&ServerGroup> {
        self.group_index.get(key).map(|index| &self.groups[*index])
    }

    /// Records a server's load report unless a newer one has been recorded.
    pub fn record_load(&mut self, server_id: &str, load: LoadReport, now: Timestamp) {
        let Some(index) = self.index_of(server_id) else {
            return;
        };
        let entry = &mut self.entries[index as usize];
        if !entry.load.record_report(load, now) {
            return;
        }
        entry.view.load = load;
        if load.queued_count > 0 {
            entry.limit.adapt(LoadSignal::Queueing, entry.view.in_flight_count, now);
        }
        self.update_availability(index);
    }

    /// Records that a load poll of a server failed.
    pub fn record_failed_load_poll(&mut self, server_id: &str, now: Timestamp) {
        if let Some(index) = self.index_by_id.get(server_id).copied() {
            self.apply_verdict(index, AttemptVerdict::Failed, now);
        }
    }

    /// Records that the platform lists a server as leaving.
    pub fn record_leaving(&mut self, server_id: &str, now: Timestamp) {
        let Some(index) = self.index_by_id.get(server_id).copied() else {
            return;
        };
        let entry = &mut self.entries[index as usize];
        if entry.view.leaving_since.is_none() {
            entry.view.leaving_since = Some(now);
            self.remove_from_member_counts(index);
            self.update_availability(index);
        }
    }

    /// Returns the sequence number of a server's next cache event.
    pub fn next_cache_sequence(&self, server_id: &str) -> u64 {
        self.entry(server_id).map_or(0, |entry| entry.next_cache_sequence)
    }

    /// Applies a server's cache events to the prefix index.
    pub fn record_cache_events(&mut self, server_id: &str, page: &CacheEventPage, now: Timestamp) {
        let Some(index) = self.index_of(server_id) else {
            return;
        };
        let entry = &mut self.entries[index as usize];
        if page.has_gap(entry.next_cache_sequence) {
            self.prefixes.record_gap(index, now);
        }
        entry.next_cache_sequence = page.next_sequence;
        for event in &page.events {
            match event.change {
                CacheChange::Stored => self.prefixes.record_stored(index, &event.blocks, now),
                CacheChange::Evicted => self.prefixes.record_evicted(index, &event.blocks),
            }
        }
    }

    /// Determines from the time to the head of a streamed response whether the request waited at
    /// the server.
    pub fn classify_head_time(
        &mut self,
        server_id: &str,
        head_time: Duration,
    ) -> Option<LoadSignal> {
        self.entry_mut(server_id).map(|entry| entry.classify_head_time(head_time))
    }

    /// Half-opens the breakers whose open time has passed.
    pub fn advance(&mut self, now: Timestamp) {
        while let Some((due_at, index)) = self.probe_times.first().copied() {
            if due_at > now {
                return;
            }
            self.probe_times.pop_first();
            self.entries[index as usize].breaker.advance(now);
            self.update_availability(index);
        }
    }

    /// Records that a request has begun on a server.
    pub fn begin_attempt(&mut self, index: ServerIndex, now: Timestamp) {
        let entry = &mut self.entries[index as usize];
        entry.view.in_flight_count += 1;
        entry.load.begin(now);
        entry.breaker.begin_attempt();
        for group in &entry.groups {
            self.groups[*group].in_flight_count += 1;
        }
        self.update_availability(index);
    }

    /// Records that a request has ended on a server, and applies what its end shows about the
    /// server's load, service time and health.
    pub fn end_attempt(&mut self, server_id: &str, end: AttemptEnd, now: Timestamp) {
        let Some(index) = self.index_by_id.get(server_id).copied() else {
            return;
        };
        let entry = &mut self.entries[index as usize];
        if let Some(signal) = end.signal.filter(|signal| entry.may_apply_signal(*signal, now)) {
            entry.limit.adapt(signal, entry.view.in_flight_count, now);
        }
        entry.view.in_flight_count = entry.view.in_flight_count.saturating_sub(1);
        entry.load.end(now);
        for group in &entry.groups {
            let group = &mut self.groups[*group];
            group.in_flight_count = group.in_flight_count.saturating_sub(1);
            if let Some(service_time) = end.service_time {
                group.service_time.record(service_time);
            }
        }
        self.apply_verdict(index, end.verdict, now);
    }

    /// Returns the inputs of load estimates for the servers of a group.
    pub(super) fn estimate_inputs(&self, group: GroupIndex, now: Timestamp) -> EstimateInputs {
        EstimateInputs {
            now,
            service_time: self.groups[group].service_time.value().unwrap_or(DEFAULT_SERVICE_TIME),
            other_router_count: self.router_count.saturating_sub(1),
        }
    }

    pub(super) fn index_of(&self, server_id: &str) -> Option<ServerIndex> {
        self.index_by_id.get(server_id).copied()
    }

    pub(super) fn group_index_of(&self, key: &GroupKey) -> Option<GroupIndex> {
        self.group_index.get(key).copied()
    }

    fn entry(&self, server_id: &str) -> Option<&ServerEntry> {
        self.index_of(server_id).map(|index| &self.entries[index as usize])
    }

    fn entry_mut(&mut self, server_id: &str) -> Option<&mut ServerEntry> {
        self.index_of(server_id).map(|index| &mut self.entries[index as usize])
    }

    fn upsert_server(&mut self, view: ServerView) -> ServerIndex {
        let is_local = view.data_centre_id == self.data_centre_id;
        if let Some(index) = self.index_of(&view.server_id) {
            self.entries[index as usize].update_view(view, is_local);
            return index;
        }
        let server_id = view.server_id.clone();
        let entry = ServerEntry::new(view, is_local, self.router_count);
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.entries[index as usize] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as ServerIndex
            }
        };
        self.index_by_id.insert(server_id, index);
        index
    }

    /// Removes unlisted servers without requests and frees their indices.
    fn remove_unlisted_idle_servers(&mut self) {
        let entries = &self.entries;
        let removable: Vec<(BackendServerId, ServerIndex)> = self
            .index_by_id
            .iter()
            .filter(|(_, index)| entries[**index as usize].is_removable())
            .map(|(server_id, index)| (server_id.clone(), *index))
            .collect();
        for (server_id, index) in removable {
            self.index_by_id.remove(&server_id);
            self.prefixes.remove_server(index);
            self.probe_times.retain(|(_, probed)| *probed != index);
            self.free_indices.push(index);
        }
    }

    fn join_groups(&mut self, index: ServerIndex) {
        let entry = &mut self.entries[index as usize];
        let model_ids = entry.view.model_ids.iter().cloned().map(Some);
        for model_id in model_ids.chain([None]) {
            let key = GroupKey {
                pool_id: entry.view.pool_id.clone(),
                model_id,
                is_local: entry.is_local,
            };
            let group = *self.group_index.entry(key).or_insert_with(|| {
                self.groups.push(ServerGroup::default());
                self.groups.len() - 1
            });
            self.groups[group].member_count += usize::from(entry.view.leaving_since.is_none());
            self.groups[group].in_flight_count += entry.view.in_flight_count;
            self.groups[group].members.push(index);
            entry.groups.push(group);
        }
    }

    fn remove_from_member_counts(&mut self, index: ServerIndex) {
        for group in &self.entries[index as usize].groups {
            self.groups[*group].member_count -= 1;
        }
    }

    fn apply_verdict(&mut self, index: ServerIndex, verdict: AttemptVerdict, now: Timestamp) {
        let entry = &mut self.entries[index as usize];
        let may_eject = entry.groups.iter().all(|group| self.groups[*group].may_eject());
        let was_ejected = entry.breaker.is_ejected();
        entry.breaker.end_attempt(verdict, may_eject, now);
        if let BreakerState::Open { until } = entry.breaker.state() {
            self.probe_times.insert((until, index));
        }
        if was_ejected && !entry.breaker.is_ejected() {
            entry.limit.reset();
        }
        self.update_availability(index);
    }

    fn update_availability(&mut self, index: ServerIndex) {
        let entry = &mut self.entries[index as usize];
        let is_ejected = entry.breaker.is_ejected() && entry.view.leaving_since.is_none();
        let free_slot_count = entry.free_slot_count();
        let is_available = free_slot_count > 0;
        for group in &entry.groups {
            let group = &mut self.groups[*group];
            match (entry.is_counted_ejected, is_ejected) {
                (false, true) => group.ejected_count += 1,
                (true, false) => group.ejected_count -= 1,
                _ => {}
            }
            group.free_slot_count =
                group.free_slot_count + free_slot_count - entry.counted_free_slot_count;
            match (entry.is_available, is_available) {
                (false, true) => group.available.insert(index),
                (true, false) => group.available.remove(index),
                _ => {}
            }
        }
        entry.is_counted_ejected = is_ejected;
        entry.is_available = is_available;
        entry.counted_free_slot_count = free_slot_count;
    }
}
