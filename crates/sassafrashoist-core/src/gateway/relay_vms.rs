//! The choice of the VMs that help a VM without a path to a backend server.
//!
//! A VM that helps opens the connection to the server and passes the bytes on; all decisions stay
//! with the VM that has the request. The load spreads over all VMs that can help, with a light
//! preference for the data centre of the server, because the bytes then cross data centres once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Uptime;
use super::live_vms::FleetVm;
use crate::ids::{DataCentreId, PoolId, VmId};

/// The number of open connections through a VM that weighs as much as another data centre.
const REMOTE_COST: f64 = 2.0;
/// The cost of a VM in a data centre in which another VM has no path either.
const SUSPECT_DATA_CENTRE_COST: f64 = 8.0;
/// The cost of a VM that did not reach a server of the pool a moment ago: the server may have ended,
/// or the VM may have lost its path and not know it yet.
const DENIED_COST: f64 = 16.0;
/// How long such a denial counts.
const DENIED_TIME: Duration = Duration::from_secs(2);

/// How long a VM without a path to a pool is not asked for connections to it. It probes its lost paths
/// more often than that, see [`PROBE_INTERVAL`](super::server_paths::PROBE_INTERVAL).
const NO_PATH_PAUSE: Duration = Duration::from_millis(300);
/// How long such a VM is asked only if no other is left.
const NO_PATH_TIME: Duration = Duration::from_secs(2);
/// The cost of such a VM.
const NO_PATH_COST: f64 = 1_000.0;

/// Why a VM did not help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// It has no path to the server either.
    NoPath,
    /// It holds as many requests as it can, or stops.
    Busy,
    /// It did not respond.
    NoResponse,
    /// It did not reach the server.
    Denied,
    /// It does not know the server.
    UnknownServer,
    /// It does not know this VM, or this kind of request.
    NotServed,
}

impl RelayFailure {
    /// Returns how long a VM is not asked again.
    fn pause(self) -> Duration {
        match self {
            Self::NoPath => NO_PATH_PAUSE,
            Self::Denied => DENIED_TIME,
            Self::UnknownServer => Duration::ZERO,
            Self::Busy => Duration::from_millis(300),
            Self::NoResponse | Self::NotServed => Duration::from_secs(1),
        }
    }
}

/// A server that is to be reached through another VM.
#[derive(Debug, Clone, Copy)]
pub struct RelayTarget<'a> {
    /// The pool of the server.
    pub pool_id: &'a PoolId,
    /// The data centre of the server.
    pub data_centre_id: &'a DataCentreId,
}

/// What one VM knows about another as a helper.
#[derive(Debug, Default)]
struct Helper {
    open_count: usize,
    paused_until: Uptime,
    /// When it said last that it had no path to each pool.
    no_path_at: BTreeMap<PoolId, Uptime>,
    /// Until when it counts as having denied a connection to each pool.
    denied_until: BTreeMap<PoolId, Uptime>,
}

impl Helper {
    fn has_denied(&self, pool_id: &str, now: Uptime) -> bool {
        self.denied_until.get(pool_id).is_some_and(|until| now < *until)
    }

    fn had_no_path_within(&self, time: Duration, pool_id: &str, now: Uptime) -> bool {
        self.no_path_at.get(pool_id).is_some_and(|at| now < *at + time)
    }
}

/// The VMs that help this VM, as far as it has asked them.
#[derive(Debug, Default)]
pub struct RelayVms {
    helpers: BTreeMap<VmId, Helper>,
}

impl RelayVms {
    /// Chooses the VM through which a connection to a server is opened, none of `tried`; `None` if no
    /// VM can help at present. `random` spreads the choice over VMs of equal cost.
    pub fn choose<'a>(
        &self,
        others: &'a [FleetVm],
        target: RelayTarget<'_>,
        tried: &[VmId],
        random: u64,
        now: Uptime,
    ) -> Option<&'a FleetVm> {
        let suspect = self.suspect_data_centres(others, target.pool_id, now);
        let usable = others.iter().filter(|vm| {
            self.is_usable(&vm.vm_id, target.pool_id, now) && !tried.contains(&vm.vm_id)
        });
        let costs = usable.enumerate().map(|(index, vm)| {
            let helper = self.helpers.get(&vm.vm_id);
            let open_count = helper.map_or(0, |helper| helper.open_count);
            let has_denied = helper.is_some_and(|h| h.has_denied(target.pool_id, now));
            let had_no_path =
                helper.is_some_and(|h| h.had_no_path_within(NO_PATH_TIME, target.pool_id, now));
            let is_remote = vm.data_centre_id != *target.data_centre_id;
            let is_suspect = suspect.contains(&vm.data_centre_id);
            let jitter = spread(random, index) as f64 / u64::MAX as f64;
            let cost = open_count as f64
                + if is_remote { REMOTE_COST } else { 0.0 }
                + if is_suspect { SUSPECT_DATA_CENTRE_COST } else { 0.0 }
                + if has_denied { DENIED_COST } else { 0.0 }
                + if had_no_path { NO_PATH_COST } else { 0.0 };
            (cost + jitter, vm)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, vm)| vm)
    }

    /// Chooses up to `count` VMs that are asked whether they reach a server: first one of each other
    /// data centre, because the VMs of one data centre lose their paths together.
    pub fn choose_witnesses(
        &self,
        others: &[FleetVm],
        pool_id: &PoolId,
        own_data_centre_id: &DataCentreId,
        count: usize,
        random: u64,
        now: Uptime,
    ) -> Vec<FleetVm> {
        let usable = others.iter().filter(|vm| self.is_usable(&vm.vm_id, pool_id, now));
        let mut shuffled: Vec<_> =
            usable.enumerate().map(|(index, vm)| (spread(random, index), vm)).collect();
        shuffled.sort_by_key(|(order, _)| *order);
        let mut asked_in: BTreeSet<&DataCentreId> = BTreeSet::from([own_data_centre_id]);
        let (first, rest): (Vec<_>, Vec<_>) =
            shuffled.into_iter().partition(|(_, vm)| asked_in.insert(&vm.data_centre_id));
        first.into_iter().chain(rest).take(count).map(|(_, vm)| vm.clone()).collect()
    }

    /// Counts a connection that is opened through a VM.
    pub fn begin(&mut self, vm_id: &VmId) {
        self.helpers.entry(vm_id.clone()).or_default().open_count += 1;
    }

    /// Counts a connection through a VM as closed.
    pub fn end(&mut self, vm_id: &VmId) {
        if let Some(helper) = self.helpers.get_mut(vm_id) {
            helper.open_count = helper.open_count.saturating_sub(1);
        }
    }

    /// Records that a VM did not help with a server of a pool.
    pub fn record_failure(
        &mut self,
        vm_id: &VmId,
        pool_id: &PoolId,
        failure: RelayFailure,
        now: Uptime,
    ) {
        let helper = self.helpers.entry(vm_id.clone()).or_default();
        let until = now + failure.pause();
        match failure {
            RelayFailure::NoPath => {
                helper.no_path_at.insert(pool_id.clone(), now);
            }
            RelayFailure::Denied => {
                helper.denied_until.insert(pool_id.clone(), until);
            }
            _ => helper.paused_until = helper.paused_until.max(until),
        }
    }

    /// Returns the number of open connections through other VMs.
    pub fn open_count(&self) -> usize {
        self.helpers.values().map(|helper| helper.open_count).sum()
    }

    /// Removes the VMs that are not in `others` any more.
    pub fn retain(&mut self, others: &[FleetVm]) {
        self.helpers.retain(|vm_id, helper| {
            helper.open_count > 0 || others.iter().any(|vm| vm.vm_id == *vm_id)
        });
    }

    fn is_usable(&self, vm_id: &VmId, pool_id: &str, now: Uptime) -> bool {
        self.helpers.get(vm_id).is_none_or(|helper| {
            now >= helper.paused_until && !helper.had_no_path_within(NO_PATH_PAUSE, pool_id, now)
        })
    }

    /// Returns the data centres with a VM that was found without a path to a pool a moment ago.
    fn suspect_data_centres<'a>(
        &self,
        others: &'a [FleetVm],
        pool_id: &str,
        now: Uptime,
    ) -> BTreeSet<&'a DataCentreId> {
        let without_path = others.iter().filter(|vm| {
            self.helpers
                .get(&vm.vm_id)
                .is_some_and(|helper| helper.had_no_path_within(NO_PATH_TIME, pool_id, now))
        });
        without_path.map(|vm| &vm.data_centre_id).collect()
    }
}

/// Returns a number for each index that differs for each `random`.
fn spread(random: u64, index: usize) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&index.to_le_bytes(), random)
}
