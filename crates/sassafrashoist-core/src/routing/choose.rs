//! Chooses the backend server of one attempt.
//!
//! Servers of the router's own data centre are preferred. Others are used only while no local one
//! can take the attempt. This router's limit on a remote server starts at one, so the overflow
//! grows only as responses show that the server has capacity. Choosing a server also reserves a
//! slot on it.
//!
//! The default policy compares two servers sampled at random with those that likely cache the
//! prompt's prefix. Routers that have the same stale load report do not all send to the same
//! server, because the samples are random and each router counts its own requests without waiting
//! for a report.

use super::load_estimate::EstimateInputs;
use super::policy::RoutingPolicy;
use super::prefix_index::{BlockHash, PrefixMatch};
use super::routing_table::RoutingTable;
use super::server_entry::ServerIndex;
use super::server_group::GroupKey;
use super::server_view::ServerView;
use crate::ids::{BackendServerId, ModelId, PoolId, Timestamp};
use crate::result_code::ResultCode;

/// The load that a fully cached prompt compensates for, in thousandths of a server's slots.
const PREFIX_WEIGHT_PER_MILLE: u64 = 500;

/// The load above which a request likely waits for a slot, in thousandths.
const CONGESTED_LOAD_PER_MILLE: u64 = 700;
/// Additional cost of each thousandth of load above [`CONGESTED_LOAD_PER_MILLE`].
const CONGESTION_WEIGHT: u64 = 4;
/// The fraction of a prompt that its preferred server is assumed to cache, in thousandths.
const PREFERRED_SERVER_CACHED_PER_MILLE: u64 = 500;
/// Index of the prompt block whose hash determines the preferred server.
const PREFERRED_SERVER_BLOCK_INDEX: usize = 7;

/// Requirements of an attempt on its backend server.
#[derive(Debug, Clone)]
pub struct ServerRequirements {
    /// The pool of the route.
    pub pool_id: PoolId,
    /// The model that must be loaded; none for a service without models.
    pub model_id: Option<ModelId>,
    /// Servers on which this request has already failed.
    pub excluded: Vec<BackendServerId>,
    /// The block hashes of the prompt; empty for a service without models.
    pub blocks: Vec<BlockHash>,
    /// Local slots that must stay free for more urgent requests.
    pub reserved_slot_count: u32,
}

impl ServerRequirements {
    /// Returns the key of the group of servers that can serve the attempt.
    pub fn group_key(&self, is_local: bool) -> GroupKey {
        GroupKey { pool_id: self.pool_id.clone(), model_id: self.model_id.clone(), is_local }
    }
}

/// A server with a slot reserved for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: ServerView,
    /// Its load before this attempt, in thousandths of its slots.
    pub load_per_mille: u64,
    /// The fraction of the prompt that it is expected to cache, in thousandths.
    pub cached_prefix_per_mille: u64,
}

/// Chooses a server and reserves a slot on it; `random` supplies random numbers.
///
/// # Errors
///
/// Fails with [`ResultCode::Overloaded`] when every server that could serve the attempt is at its
/// limit, and with [`ResultCode::NoBackendServer`] when there is none.
pub fn choose_server(
    table: &mut RoutingTable,
    requirements: &ServerRequirements,
    policy: RoutingPolicy,
    now: Timestamp,
    mut random: impl FnMut() -> u64,
) -> Result<Choice, ResultCode> {
    table.advance(now);
    let excluded: Vec<ServerIndex> =
        requirements.excluded.iter().filter_map(|server_id| table.index_of(server_id)).collect();
    let mut has_servers = false;
    for is_local in [true, false] {
        let Some(group) = table.group_index_of(&requirements.group_key(is_local)) else {
            continue;
        };
        has_servers |= table.groups[group].member_count > excluded.len();
        if is_local && table.groups[group].free_slot_count <= requirements.reserved_slot_count {
            continue;
        }
        let inputs = table.estimate_inputs(group, now);
        let candidates = Candidates { table, group, excluded: &excluded, inputs };
        let picked = match policy {
            RoutingPolicy::Random => candidates.pick(random()),
            RoutingPolicy::RoundRobin => candidates.pick(table.groups[group].round_robin_position),
            RoutingPolicy::LeastOutstanding => candidates.least_outstanding(),
            RoutingPolicy::PowerOfTwoChoices => candidates.lowest_cost([random(), random()], &[]),
            RoutingPolicy::PrefixAware => {
                let matches = candidates.prefix_matches(&requirements.blocks);
                candidates.lowest_cost([random(), random()], &matches)
            }
        };
        if let Some(picked) = picked {
            table.groups[group].round_robin_position =
                table.groups[group].round_robin_position.wrapping_add(1);
            return Ok(reserve(table, requirements, picked, &inputs));
        }
    }
    Err(if has_servers { ResultCode::Overloaded } else { ResultCode::NoBackendServer })
}

fn reserve(
    table: &mut RoutingTable,
    requirements: &ServerRequirements,
    picked: PrefixMatch,
    inputs: &EstimateInputs,
) -> Choice {
    let load_per_mille = table.entries[picked.server as usize].load_per_mille(inputs);
    table.begin_attempt(picked.server, inputs.now);
    table.prefixes.record_stored(picked.server, &requirements.blocks, inputs.now);
    let server = table.entries[picked.server as usize].view.clone();
    Choice { server, load_per_mille, cached_prefix_per_mille: picked.expected_cached_per_mille }
}

struct Candidates<'a> {
    table: &'a RoutingTable,
    group: usize,
    excluded: &'a [ServerIndex],
    inputs: EstimateInputs,
}

impl Candidates<'_> {
    fn pick(&self, number: u64) -> Option<PrefixMatch> {
        let server = self.table.groups[self.group].available.pick(number, self.excluded)?;
        Some(PrefixMatch { server, expected_cached_per_mille: 0 })
    }

    /// Returns the servers that likely cache a part of the prompt, including the one that all
    /// routers prefer for it. Without a shared preference, each router would fill the cache of a
    /// different server.
    fn prefix_matches(&self, blocks: &[BlockHash]) -> Vec<PrefixMatch> {
        let mut matches = self.table.prefixes.find(blocks, self.inputs.now);
        let block = blocks.get(PREFERRED_SERVER_BLOCK_INDEX).or(blocks.last());
        let preferred =
            block.and_then(|block| self.table.groups[self.group].preferred_server(*block));
        if let Some(server) = preferred
            && !matches.iter().any(|found| found.server == server)
        {
            matches.push(PrefixMatch {
                server,
                expected_cached_per_mille: PREFERRED_SERVER_CACHED_PER_MILLE,
            });
        }
        matches
    }

    /// Scans all available servers. It exists only to be compared with the other policies.
    fn least_outstanding(&self) -> Option<PrefixMatch> {
        let members = self.table.groups[self.group].available.members();
        let usable = members.iter().filter(|member| !self.excluded.contains(member));
        let server = usable.min_by_key(|member| {
            let view = &self.table.entries[**member as usize].view;
            let reported = view.load.running_count + view.load.queued_count;
            reported.max(view.in_flight_count)
        })?;
        Some(PrefixMatch { server: *server, expected_cached_per_mille: 0 })
    }

    fn lowest_cost(
        &self,
        random_numbers: [u64; 2],
        matches: &[PrefixMatch],
    ) -> Option<PrefixMatch> {
        let available = &self.table.groups[self.group].available;
        let cached = matches.iter().copied().filter(|found| {
            available.contains(found.server) && !self.excluded.contains(&found.server)
        });
        let sampled = random_numbers.into_iter().filter_map(|number| self.pick(number));
        cached.chain(sampled).min_by_key(|candidate| self.cost(candidate))
    }

    /// Returns the load of a candidate, with additional cost near its capacity, minus the work that
    /// its cached prefix saves; both in thousandths.
    fn cost(&self, candidate: &PrefixMatch) -> i64 {
        let load = self.table.entries[candidate.server as usize].load_per_mille(&self.inputs);
        let congestion = load.saturating_sub(CONGESTED_LOAD_PER_MILLE) * CONGESTION_WEIGHT;
        let saved = candidate.expected_cached_per_mille * PREFIX_WEIGHT_PER_MILLE / 1000;
        (load + congestion) as i64 - saved as i64
    }
}
