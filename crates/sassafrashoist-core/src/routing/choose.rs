//! The choice of a backend server for one attempt.
//!
//! Servers of the own data centre go first; others are used only while every local one is at its
//! limit or gone, and this router's limit there starts at one, so overflow grows by measured steps.
//! A choice reserves its place on the server at once.
//!
//! The chosen policy compares two servers drawn at random with those that likely cache the prompt's
//! prefix. Random draws, and own requests that count at once while reports lag, keep routers with
//! the same stale report from all sending to the same server.

use super::load_estimate::EstimateBasis;
use super::policy::RoutingPolicy;
use super::prefix_index::{BlockHash, PrefixMatch};
use super::routing_table::RoutingTable;
use super::server_entry::ServerIndex;
use super::server_group::GroupKey;
use super::server_view::ServerView;
use crate::ids::{BackendServerId, ModelId, PoolId, Timestamp};
use crate::result_code::ResultCode;

/// The load, in thousandths of a server's slots, that a whole cached prompt outweighs.
const PREFIX_WEIGHT_PER_MILLE: u64 = 500;

/// The load above which a request likely waits for a slot, in thousandths.
const CROWDED_PER_MILLE: u64 = 700;
/// How much more each thousandth above that weighs.
const CROWDING_WEIGHT: u64 = 4;
/// The part of a prompt that the server preferred for it is expected to cache, in thousandths.
const PREFERRED_PER_MILLE: u64 = 500;
/// The block that decides which server is preferred.
const PREFERENCE_BLOCK: usize = 7;

/// What an attempt needs of its backend server.
#[derive(Debug, Clone)]
pub struct RouteNeed {
    /// The pool of the route.
    pub pool_id: PoolId,
    /// The model that must be loaded; none for a plain service.
    pub model_id: Option<ModelId>,
    /// Servers that failed this request before.
    pub excluded: Vec<BackendServerId>,
    /// The blocks of the prompt; empty for a plain service.
    pub blocks: Vec<BlockHash>,
    /// Local places that must stay free for more urgent requests.
    pub reserved_count: u32,
}

impl RouteNeed {
    /// Names the group of servers that can serve the attempt.
    pub fn group_key(&self, is_local: bool) -> GroupKey {
        GroupKey { pool_id: self.pool_id.clone(), model_id: self.model_id.clone(), is_local }
    }
}

/// A server with a place reserved for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: ServerView,
    /// Its load before this attempt, in thousandths of its slots.
    pub load_per_mille: u64,
    /// The part of the prompt that it is believed to cache, in thousandths.
    pub prefix_per_mille: u64,
}

/// Chooses a server and reserves a place on it; `draw` supplies random numbers.
///
/// # Errors
///
/// Fails with [`ResultCode::Overloaded`] when every server that could serve the attempt is at its
/// limit, and with [`ResultCode::NoBackendServer`] when there is none.
pub fn choose_server(
    table: &mut RoutingTable,
    need: &RouteNeed,
    policy: RoutingPolicy,
    now: Timestamp,
    mut draw: impl FnMut() -> u64,
) -> Result<Choice, ResultCode> {
    table.advance(now);
    let excluded: Vec<ServerIndex> =
        need.excluded.iter().filter_map(|server_id| table.index_of(server_id)).collect();
    let mut has_servers = false;
    for is_local in [true, false] {
        let Some(group) = table.group_index_of(&need.group_key(is_local)) else {
            continue;
        };
        has_servers |= table.groups[group].member_count > excluded.len();
        if is_local && table.groups[group].free_count <= need.reserved_count {
            continue;
        }
        let basis = table.estimate_basis(group, now);
        let candidates = Candidates { table, group, excluded: &excluded, basis };
        let picked = match policy {
            RoutingPolicy::Random => candidates.pick(draw()),
            RoutingPolicy::RoundRobin => candidates.pick(table.groups[group].turn),
            RoutingPolicy::LeastOutstanding => candidates.least_outstanding(),
            RoutingPolicy::PowerOfTwoChoices => candidates.lighter([draw(), draw()], &[]),
            RoutingPolicy::Chosen => {
                let matches = candidates.likely_caches(&need.blocks);
                candidates.lighter([draw(), draw()], &matches)
            }
        };
        if let Some(picked) = picked {
            table.groups[group].turn = table.groups[group].turn.wrapping_add(1);
            return Ok(reserve(table, need, picked, &basis));
        }
    }
    Err(if has_servers { ResultCode::Overloaded } else { ResultCode::NoBackendServer })
}

fn reserve(
    table: &mut RoutingTable,
    need: &RouteNeed,
    picked: PrefixMatch,
    basis: &EstimateBasis,
) -> Choice {
    let load_per_mille = table.entries[picked.server as usize].load_per_mille(basis);
    table.begin_attempt(picked.server, basis.now);
    table.prefixes.record_stored(picked.server, &need.blocks, basis.now);
    let server = table.entries[picked.server as usize].view.clone();
    Choice { server, load_per_mille, prefix_per_mille: picked.expected_per_mille }
}

struct Candidates<'a> {
    table: &'a RoutingTable,
    group: usize,
    excluded: &'a [ServerIndex],
    basis: EstimateBasis,
}

impl Candidates<'_> {
    fn pick(&self, number: u64) -> Option<PrefixMatch> {
        let server = self.table.groups[self.group].available.pick(number, self.excluded)?;
        Some(PrefixMatch { server, expected_per_mille: 0 })
    }

    /// Returns the servers that likely cache a part of the prompt. Among them is the one that all
    /// routers prefer for it, so that each does not warm a cache of its own.
    fn likely_caches(&self, blocks: &[BlockHash]) -> Vec<PrefixMatch> {
        let mut matches = self.table.prefixes.find(blocks, self.basis.now);
        let block = blocks.get(PREFERENCE_BLOCK).or(blocks.last());
        let preferred = block.and_then(|block| self.table.groups[self.group].preferred(*block));
        if let Some(server) = preferred
            && !matches.iter().any(|known| known.server == server)
        {
            matches.push(PrefixMatch { server, expected_per_mille: PREFERRED_PER_MILLE });
        }
        matches
    }

    /// Looks at every server, for comparison only.
    fn least_outstanding(&self) -> Option<PrefixMatch> {
        let members = self.table.groups[self.group].available.members();
        let usable = members.iter().filter(|member| !self.excluded.contains(member));
        let server = usable.min_by_key(|member| {
            let view = &self.table.entries[**member as usize].view;
            let reported = view.load.running_count + view.load.queued_count;
            reported.max(view.in_flight_count)
        })?;
        Some(PrefixMatch { server: *server, expected_per_mille: 0 })
    }

    fn lighter(&self, numbers: [u64; 2], matches: &[PrefixMatch]) -> Option<PrefixMatch> {
        let available = &self.table.groups[self.group].available;
        let cached = matches.iter().copied().filter(|found| {
            available.contains(found.server) && !self.excluded.contains(&found.server)
        });
        let drawn = numbers.into_iter().filter_map(|number| self.pick(number));
        cached.chain(drawn).min_by_key(|candidate| self.cost(candidate))
    }

    /// The load of a candidate, which weighs more near its capacity, less what its cached prefix
    /// saves; both in thousandths.
    fn cost(&self, candidate: &PrefixMatch) -> i64 {
        let load = self.table.entries[candidate.server as usize].load_per_mille(&self.basis);
        let crowding = load.saturating_sub(CROWDED_PER_MILLE) * CROWDING_WEIGHT;
        let saved = candidate.expected_per_mille * PREFIX_WEIGHT_PER_MILLE / 1000;
        (load + crowding) as i64 - saved as i64
    }
}
