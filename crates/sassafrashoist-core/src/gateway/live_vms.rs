//! The VMs that write to the ledger, as seen by one VM.
//!
//! All VMs that read the same ledger select the same VMs for a task from it, by rendezvous hashing
//! and without messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Uptime;
use super::holder_record::HolderRecord;
use super::token_ledger::TokenLedger;
use crate::ids::{DataCentreId, VmId};
use crate::rendezvous::rank_owners;

/// The time without a new record, while the ledger can be read, after which a VM counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(12);
/// The time without a read of the ledger that does not count towards [`LOST_AFTER`].
const MAX_READ_GAP: Duration = Duration::from_secs(2);

/// A VM of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetVm {
    /// The VM.
    pub vm_id: VmId,
    /// The address to which other VMs send messages.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
}

/// A VM with a record in the ledger.
#[derive(Debug)]
struct Member {
    vm: FleetVm,
    sequence: u64,
    written_at: Uptime,
    read_at: Uptime,
}

impl Member {
    fn new(record: &HolderRecord, now: Uptime) -> Self {
        let vm = FleetVm {
            vm_id: record.vm_id.clone(),
            peer_address: record.peer_address,
            data_centre_id: record.data_centre_id.clone(),
        };
        Self { vm, sequence: record.sequence, written_at: now, read_at: now }
    }

    fn record_read(&mut self, record: &HolderRecord, unread_time: Duration, now: Uptime) {
        self.written_at =
            if self.sequence == record.sequence { self.written_at + unread_time } else { now };
        self.sequence = record.sequence;
        self.vm.peer_address = record.peer_address;
        self.read_at = now;
    }
}

/// The VMs that write to the ledger, as seen by one VM.
#[derive(Debug)]
pub struct LiveVms {
    own: FleetVm,
    members: BTreeMap<VmId, Member>,
    read_at: Option<Uptime>,
}

impl LiveVms {
    /// Creates the view of a VM that has not read the ledger yet.
    pub fn new(own: FleetVm) -> Self {
        Self { own, members: BTreeMap::new(), read_at: None }
    }

    /// Returns this VM.
    pub fn own(&self) -> &FleetVm {
        &self.own
    }

    /// Updates the view after the ledger was read to its end.
    pub fn record_read(&mut self, ledger: &TokenLedger, now: Uptime) {
        let gap = self.read_at.map_or(Duration::ZERO, |read_at| now.saturating_sub(read_at));
        let unread_time = if gap > MAX_READ_GAP { gap } else { Duration::ZERO };
        self.read_at = Some(now);
        for (_, record) in ledger.live_holders() {
            match self.members.get_mut(&record.vm_id) {
                Some(member) => member.record_read(record, unread_time, now),
                None => {
                    self.members.insert(record.vm_id.clone(), Member::new(record, now));
                }
            }
        }
        self.members.retain(|_, member| member.read_at == now);
    }

    /// Returns the other VMs that are not lost. While the ledger cannot be read, no VM counts as lost.
    pub fn others(&self, now: Uptime) -> impl Iterator<Item = &FleetVm> {
        let has_current_view = self.read_at.is_some_and(|at| now < at + MAX_READ_GAP);
        let others = self.members.values().filter(move |member| {
            let is_lost = has_current_view && now >= member.written_at + LOST_AFTER;
            member.vm.vm_id != self.own.vm_id && !is_lost
        });
        others.map(|member| &member.vm)
    }

    /// Returns the other VMs of the data centre that are not lost.
    pub fn neighbours(&self, now: Uptime) -> impl Iterator<Item = &FleetVm> {
        self.others(now).filter(|vm| vm.data_centre_id == self.own.data_centre_id)
    }

    /// Returns this VM and the others that are not lost, in the order of their hash with `key`.
    pub fn ranked(&self, key: &str, now: Uptime) -> Vec<&FleetVm> {
        let vm_ids = self.others(now).map(|vm| vm.vm_id.as_str());
        let ranked = rank_owners(key, vm_ids.chain([self.own.vm_id.as_str()]));
        ranked.into_iter().map(|vm_id| self.vm(vm_id)).collect()
    }

    /// Returns the first `count` VMs of [`Self::ranked`], at first one of each data centre.
    pub fn spread(&self, key: &str, count: usize, now: Uptime) -> Vec<FleetVm> {
        let ranked = self.ranked(key, now);
        let mut chosen: Vec<&FleetVm> = Vec::new();
        for vm in &ranked {
            if chosen.iter().all(|other| other.data_centre_id != vm.data_centre_id) {
                chosen.push(vm);
            }
        }
        let rest = ranked.into_iter().filter(|vm| !chosen.contains(vm)).collect::<Vec<_>>();
        chosen.into_iter().chain(rest).take(count).cloned().collect()
    }

    fn vm(&self, vm_id: &str) -> &FleetVm {
        self.members.get(vm_id).map_or(&self.own, |member| &member.vm)
    }
}
