//! The pools that each route has led to, for as long as a stream that began there may be resumed.
//!
//! The active configuration says where a request goes now. A stream may have begun under an earlier
//! one, which led elsewhere or had a longer timeout. Both are kept for each path that a route has
//! matched, until no stream that began under it can be resumed any more.
//!
//! What was in force before the first configuration of this process is not known. It counts as if it
//! had led elsewhere, with the timeouts of that first one, unless the history has the first one of all.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Uptime;
use super::route::Route;
use super::route_table::{RouteTable, host_name, path_prefixes};
use crate::ids::PoolId;

/// A stream that a caller may still resume began at most this multiple of its route's timeout ago.
const MAX_STREAM_AGE_FACTOR: u32 = 2;
/// How long streams may still begin under a configuration, or at a server, that is no longer listed:
/// other VMs read the list later.
const MAX_ENDING_TIME: Duration = Duration::from_secs(10);

/// The only pool at which the streams of a route can have begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SolePool {
    /// The pool.
    pub pool_id: PoolId,
    /// How long ago the oldest of these streams can have begun.
    pub max_stream_age: Duration,
}

/// A time in which a path led to the same pools, with the same timeout.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Period {
    /// No pool if the pools are not known, or no route matched.
    pools: Vec<PoolId>,
    max_stream_age: Duration,
    ended_at: Option<Uptime>,
}

impl Period {
    fn of(route: &Route) -> Self {
        let pools = route.destinations.iter().map(|destination| destination.pool_id.clone());
        Self { pools: pools.collect(), max_stream_age: max_stream_age(route), ended_at: None }
    }

    /// Returns the time before a VM knew a configuration.
    fn unknown(route: &Route, ended_at: Uptime) -> Self {
        Self { pools: Vec::new(), max_stream_age: max_stream_age(route), ended_at: Some(ended_at) }
    }

    /// Returns whether a stream that began in this time may still be resumed.
    fn is_recent(&self, now: Uptime) -> bool {
        self.ended_at.is_none_or(|ended_at| now < ended_at + self.max_stream_age)
    }
}

fn max_stream_age(route: &Route) -> Duration {
    route.timeout * MAX_STREAM_AGE_FACTOR + MAX_ENDING_TIME
}

/// The pools that each route has led to, and the active configuration.
#[derive(Debug, Default)]
pub struct RouteHistory {
    active: Option<Arc<RouteTable>>,
    /// When the first configuration came into force.
    known_since: Option<Uptime>,
    /// Whether nothing was in force before the first configuration of this history.
    knows_first_config: bool,
    /// By host and path prefix, the oldest first.
    periods: HashMap<String, HashMap<String, Vec<Period>>>,
}

impl RouteHistory {
    /// Creates a history whose first configuration is the first one that was ever in force.
    pub fn from_first_config() -> Self {
        Self { knows_first_config: true, ..Self::default() }
    }

    /// Returns the active configuration; `None` before the first one.
    pub fn active(&self) -> Option<&Arc<RouteTable>> {
        self.active.as_ref()
    }

    /// Puts a configuration into force if it is newer than the active one; returns whether it is.
    pub fn replace(&mut self, routes: &Arc<RouteTable>, now: Uptime) -> bool {
        let version = routes.config().version;
        if self.active.as_ref().is_some_and(|active| version <= active.config().version) {
            return false;
        }
        let known_since = *self.known_since.get_or_insert(now);
        for route in &routes.config().routes {
            self.add_prefix(route, known_since);
        }
        for (host, prefixes) in &mut self.periods {
            for (prefix, periods) in prefixes.iter_mut() {
                change_period(periods, routes.find_route(host, prefix).ok(), now);
            }
            prefixes.retain(|_, periods| !periods.is_empty());
        }
        self.periods.retain(|_, prefixes| !prefixes.is_empty());
        self.active = Some(Arc::clone(routes));
        true
    }

    /// Adds the prefix of a route. Its paths have led to where a shorter prefix led, and before
    /// `known_since`, to where is not known.
    fn add_prefix(&mut self, route: &Route, known_since: Uptime) {
        let host = route.host.to_ascii_lowercase();
        if self.periods.get(&host).is_some_and(|known| known.contains_key(&route.path_prefix)) {
            return;
        }
        let mut periods = Vec::new();
        if !self.knows_first_config {
            periods.push(Period::unknown(route, known_since));
        }
        periods.extend_from_slice(self.find(&route.host, &route.path_prefix));
        self.periods.entry(host).or_default().insert(route.path_prefix.clone(), periods);
    }

    /// Returns the only pool at which the streams of a path can have begun that may be resumed now;
    /// `None` if there are several, or if that is not known.
    pub fn sole_pool(&self, host: &str, path: &str, now: Uptime) -> Option<SolePool> {
        let mut recent = self.find(host, path).iter().filter(|period| period.is_recent(now));
        let first = recent.next()?;
        let [pool_id] = first.pools.as_slice() else {
            return None;
        };
        let mut max_stream_age = first.max_stream_age;
        for period in recent {
            if period.pools != first.pools {
                return None;
            }
            max_stream_age = max_stream_age.max(period.max_stream_age);
        }
        Some(SolePool { pool_id: pool_id.clone(), max_stream_age })
    }

    /// Returns whether a path has led to a pool, at a time in which a stream may have begun that may be
    /// resumed now.
    pub fn has_led_to(&self, host: &str, path: &str, pool_id: &str, now: Uptime) -> bool {
        let mut recent = self.find(host, path).iter().filter(|period| period.is_recent(now));
        recent.any(|period| period.pools.iter().any(|pool| pool == pool_id))
    }

    /// Returns the periods of the longest prefix of a path that a route matches, or has matched.
    fn find(&self, host: &str, path: &str) -> &[Period] {
        let Some(prefixes) = self.periods.get(&host_name(host)) else {
            return &[];
        };
        path_prefixes(path).find_map(|prefix| prefixes.get(prefix)).map_or(&[], Vec::as_slice)
    }
}

/// Ends the current period unless it is that of `route`, and removes those that are over for long.
fn change_period(periods: &mut Vec<Period>, route: Option<&Route>, now: Uptime) {
    let current = route.map(Period::of);
    if periods.last() != current.as_ref() {
        if let Some(last) = periods.last_mut() {
            last.ended_at.get_or_insert(now);
        }
        periods.extend(current);
    }
    periods.retain(|period| period.is_recent(now));
}
