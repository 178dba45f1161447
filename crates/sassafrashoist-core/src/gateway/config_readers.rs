//! The VMs that read the configuration from the log service.
//!
//! In a small fleet every VM reads it. In a large one, a few VMs of each data centre do, and tell the
//! others what is in force: all VMs together would use the whole read rate of the log service for
//! every change. A VM that hears of no reader reads the configuration itself, so views that differ
//! do no harm.

use super::Uptime;
use super::live_vms::{FleetVm, LiveVms};
use crate::rendezvous::rank_owners;

/// The most VMs of a fleet in which every VM reads the configuration.
pub const MAX_SMALL_FLEET_VMS: usize = 16;
/// Readers in each data centre of a large fleet: one may be down and one stopping.
pub const READERS_PER_DATA_CENTRE: usize = 3;
/// The key of the rendezvous hash that ranks VMs; all VMs must use the same.
const RANK_KEY: &str = "config readers";

/// The part of one VM in reading the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigReaders {
    /// Whether this VM reads the configuration from the log service.
    pub is_reader: bool,
    /// The number of VMs of the fleet.
    pub fleet_vm_count: usize,
    /// The other VMs of the data centre; none if all of them are readers.
    pub neighbours: Vec<FleetVm>,
}

impl ConfigReaders {
    /// Selects the readers of a VM's data centre.
    pub fn select(live_vms: &LiveVms, now: Uptime) -> Self {
        let own = live_vms.own();
        let fleet_vm_count = live_vms.others(now).count() + 1;
        let neighbours: Vec<FleetVm> = live_vms.neighbours(now).cloned().collect();
        if fleet_vm_count <= MAX_SMALL_FLEET_VMS || neighbours.len() < READERS_PER_DATA_CENTRE {
            return Self { is_reader: true, fleet_vm_count, neighbours: Vec::new() };
        }
        let vm_ids = neighbours.iter().map(|vm| vm.vm_id.as_str()).chain([own.vm_id.as_str()]);
        let mut ranked = rank_owners(RANK_KEY, vm_ids).into_iter();
        let is_reader = ranked.by_ref().take(READERS_PER_DATA_CENTRE).any(|id| id == own.vm_id);
        Self { is_reader, fleet_vm_count, neighbours }
    }
}
