//! The latest shard reports from the other VMs of the data centre.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use sassafrashoist_core::budgets::shard::ShardId;
use sassafrashoist_core::ids::{Epoch, Incarnation, VmId};
use sassafrashoist_core::owner::propose_view::PeerStatus;
use sassafrashoist_core::owner::shard_table::ShardTable;

/// A VM counts as unreachable when its last report is older than this.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A VM's report on the shards that it holds state for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// The incarnation of the VM.
    pub incarnation: Incarnation,
    /// The epoch of the VM's state, for each shard that it holds state for.
    pub state_epochs: BTreeMap<ShardId, Epoch>,
}

impl ShardReport {
    /// Builds the report on the replicas of this VM.
    pub fn of(incarnation: Incarnation, table: &ShardTable) -> Self {
        let replicas = table.replicas().iter();
        let state_epochs =
            replicas.filter_map(|(shard, replica)| Some((*shard, replica.state_epoch()?)));
        Self { incarnation, state_epochs: state_epochs.collect() }
    }
}

/// The latest shard reports from the other VMs of the data centre, with the time of receipt.
#[derive(Debug, Default)]
pub struct ContactTable {
    reports: BTreeMap<VmId, (Instant, ShardReport)>,
}

impl ContactTable {
    /// Records a VM's report as received now.
    pub fn record(&mut self, vm_id: VmId, report: ShardReport) {
        self.reports.insert(vm_id, (Instant::now(), report));
    }

    /// Returns a VM's status with regard to a shard, from its latest report.
    pub fn peer_status(&self, vm_id: &str, shard: ShardId) -> PeerStatus {
        let contact = self.reports.get(vm_id);
        PeerStatus {
            vm_id: vm_id.to_owned(),
            is_reachable: contact.is_some_and(|(at, _)| at.elapsed() < CONTACT_TIMEOUT),
            is_unlisted: false,
            incarnation: contact.map(|(_, report)| report.incarnation),
            state_epoch: contact.and_then(|(_, report)| report.state_epochs.get(&shard).copied()),
        }
    }
}
