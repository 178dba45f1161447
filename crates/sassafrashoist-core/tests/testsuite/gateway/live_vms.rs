use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::live_vms::{FleetVm, LiveVms};
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

const START: Duration = Duration::from_secs(100);
const DATA_CENTRE_COUNT: usize = 4;
const KEEPER_COUNT: usize = 3;
const STREAM_COUNT: usize = 2_000;

fn vm(index: usize) -> FleetVm {
    FleetVm {
        vm_id: format!("vm-{index}"),
        peer_address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000)),
        data_centre_id: format!("dc-{}", index % DATA_CENTRE_COUNT),
    }
}

fn ledger(vm_count: usize) -> TokenLedger {
    let mut ledger = TokenLedger::default();
    for index in 0..vm_count {
        let FleetVm { vm_id, peer_address, data_centre_id } = vm(index);
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
    ledger
}

fn view(own: usize, ledger: &TokenLedger) -> LiveVms {
    let mut live_vms = LiveVms::new(vm(own));
    live_vms.record_read(ledger, START);
    live_vms
}

/// Returns the share of streams, begun at VMs that are lost, of which another VM finds a keeper that
/// is not lost. The other VM has one VM less in its view of the ledger.
fn found_share(vm_count: usize, is_lost: impl Fn(&FleetVm) -> bool) -> f64 {
    let taker = (0..vm_count).rev().find(|index| !is_lost(&vm(*index))).unwrap();
    let at_taker = view(taker, &ledger(vm_count - 1));
    let begun_at: Vec<usize> = (0..vm_count).filter(|index| is_lost(&vm(*index))).collect();
    let views: Vec<LiveVms> =
        begun_at.iter().map(|index| view(*index, &ledger(vm_count))).collect();
    let found = (0..STREAM_COUNT).filter(|number| {
        let stream_id = format!("stream-{number}");
        let kept_by = views[number % views.len()].spread(&stream_id, KEEPER_COUNT, START);
        let asked = at_taker.spread(&stream_id, KEEPER_COUNT, START);
        asked.iter().any(|keeper| kept_by.contains(keeper) && !is_lost(keeper))
    });
    found.count() as f64 / STREAM_COUNT as f64
}

#[test]
fn streams_are_found_when_the_vm_that_began_them_is_lost() {
    for vm_count in [7, 60, 336] {
        let share = found_share(vm_count, |lost| lost.vm_id == "vm-0");

        println!("| the VM that began them | {vm_count} | {share:.3} |");
        assert!(share >= 0.99, "{vm_count} VMs: {share}");
    }
}

#[test]
fn streams_are_found_when_a_data_centre_is_lost() {
    for vm_count in [7, 60, 336] {
        let share = found_share(vm_count, |lost| lost.data_centre_id == "dc-0");

        println!("| a data centre of four | {vm_count} | {share:.3} |");
        assert!(share >= 0.99, "{vm_count} VMs: {share}");
    }
}

// LOST: half of the streams that clients take up again are to go on.
#[test]
fn streams_are_found_when_half_of_the_vms_are_lost() {
    for vm_count in [7, 60, 336] {
        let is_even = |lost: &FleetVm| {
            lost.peer_address.ip().to_string().ends_with(['1', '3', '5', '7', '9'])
        };
        let share = found_share(vm_count, is_even);

        println!("| every second VM | {vm_count} | {share:.3} |");
        assert!(share >= 0.5, "{vm_count} VMs: {share}");
    }
}

#[test]
fn a_vm_that_stops_writing_is_lost_unless_the_ledger_cannot_be_read() {
    let silent = ledger(3);
    let mut live_vms = view(0, &silent);
    let is_lost_at = |live_vms: &LiveVms, now| live_vms.ranked("key", now).len() == 1;
    for second in 1..=11 {
        live_vms.record_read(&silent, START + Duration::from_secs(second));
    }

    let after_11_s = is_lost_at(&live_vms, START + Duration::from_secs(11));
    let after_outage = START + Duration::from_secs(60);
    let during_outage = is_lost_at(&live_vms, after_outage);
    live_vms.record_read(&silent, after_outage);
    let just_after_outage = is_lost_at(&live_vms, after_outage);
    live_vms.record_read(&silent, after_outage + Duration::from_secs(1));
    let after_12_s = is_lost_at(&live_vms, after_outage + Duration::from_secs(1));

    assert_eq!(
        (after_11_s, during_outage, just_after_outage, after_12_s),
        (false, false, false, true)
    );
}
