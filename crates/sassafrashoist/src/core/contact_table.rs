//! What this VM knows of the other VMs of its data centre from their answers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use sassafrashoist_core::budgets::shard::ShardId;
use sassafrashoist_core::ids::{Epoch, Incarnation, VmId};
use sassafrashoist_core::owner::propose_view::PeerStatus;
use sassafrashoist_core::owner::shard_table::ShardTable;

/// Time without an answer after which a VM counts as out of reach.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a VM says of the shards that it has state of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// The incarnation of the VM.
    pub incarnation: Incarnation,
    /// The epoch of the state that it has of each shard.
    pub state_epochs: BTreeMap<ShardId, Epoch>,
}

impl ShardReport {
    /// Reports the replicas of this VM.
    pub fn of(incarnation: Incarnation, table: &ShardTable) -> Self {
        let replicas = table.replicas().iter();
        let state_epochs =
            replicas.filter_map(|(shard, replica)| Some((*shard, replica.state_epoch()?)));
        Self { incarnation, state_epochs: state_epochs.collect() }
    }
}

/// The newest reports of the other VMs of the data centre.
#[derive(Debug, Default)]
pub struct ContactTable {
    reports: BTreeMap<VmId, (Instant, ShardReport)>,
}

impl ContactTable {
    /// Records a VM's answer.
    pub fn record(&mut self, vm_id: VmId, report: ShardReport) {
        self.reports.insert(vm_id, (Instant::now(), report));
    }

    /// Returns what is known of a VM with regard to a shard.
    pub fn fact(&self, vm_id: &str, shard: ShardId) -> PeerStatus {
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
