use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::config_readers::{
    ConfigReaders, MAX_SMALL_FLEET_VMS, READERS_PER_DATA_CENTRE,
};
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::live_vms::{FleetVm, LiveVms};
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

const START: Duration = Duration::from_secs(100);

/// A VM of a fleet of which `data_centres` names the data centre of each VM.
fn vm(data_centres: &[&str], index: usize) -> FleetVm {
    FleetVm {
        vm_id: format!("vm-{index}"),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
        data_centre_id: data_centres[index].to_owned(),
    }
}

fn roles(data_centres: &[&str]) -> Vec<ConfigReaders> {
    let mut ledger = TokenLedger::default();
    for index in 0..data_centres.len() {
        let FleetVm { vm_id, peer_address, data_centre_id } = vm(data_centres, index);
        let record = HolderRecord {
            vm_id: vm_id.clone(),
            data_centre_id,
            peer_address,
            sequence: 1,
            is_closed: false,
            sent_at: ClockReading::default(),
            limits_active_for: Duration::ZERO,
            accounts: Vec::new(),
        };
        ledger.apply(index as u64 + 1, vm_id, record);
    }
    let role = |index| {
        let mut live_vms = LiveVms::new(vm(data_centres, index));
        live_vms.record_read(&ledger, START);
        ConfigReaders::select(&live_vms, START)
    };
    (0..data_centres.len()).map(role).collect()
}

#[test]
fn every_vm_of_a_small_fleet_reads_and_announces_to_none() {
    for vm_count in [1, 4, MAX_SMALL_FLEET_VMS] {
        let roles = roles(&vec!["a"; vm_count]);

        assert!(roles.iter().all(|role| role.is_reader && role.neighbours.is_empty()));
    }
}

#[test]
fn every_vm_of_a_small_data_centre_reads_and_announces_to_none() {
    let data_centres = [vec!["a"; READERS_PER_DATA_CENTRE], vec!["b"; 20]].concat();

    let roles = roles(&data_centres);

    let in_small = &roles[..READERS_PER_DATA_CENTRE];
    assert!(in_small.iter().all(|role| role.is_reader && role.neighbours.is_empty()));
}

#[test]
fn few_vms_of_each_data_centre_of_a_large_fleet_read() {
    let data_centres = [vec!["a"; 4], vec!["b"; MAX_SMALL_FLEET_VMS - 3]].concat();

    let roles = roles(&data_centres);

    for data_centre in ["a", "b"] {
        let is_here = |(_, id): &(_, &&str)| **id == data_centre;
        let here: Vec<_> = roles.iter().zip(&data_centres).filter(is_here).collect();
        let reader_count = here.iter().filter(|(role, _)| role.is_reader).count();
        assert_eq!(reader_count, READERS_PER_DATA_CENTRE);
        for (role, _) in &here {
            let ids: BTreeSet<_> = role.neighbours.iter().map(|vm| &vm.data_centre_id).collect();
            assert_eq!(ids.into_iter().collect::<Vec<_>>(), [data_centre]);
            assert_eq!(role.neighbours.len(), here.len() - 1);
        }
    }
}

#[test]
fn vm_that_has_not_read_the_ledger_reads_the_configuration() {
    let live_vms = LiveVms::new(vm(&["a"], 0));

    let role = ConfigReaders::select(&live_vms, START);

    assert_eq!(role, ConfigReaders { is_reader: true, fleet_vm_count: 1, neighbours: Vec::new() });
}
