use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::allocator_vms::AllocatorVms;
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

const DATA_CENTRES: [&str; 4] = ["plateau", "almadies", "rufisque", "pikine"];

pub fn ledger_of(vm_count: usize) -> TokenLedger {
    let mut ledger = TokenLedger::default();
    for index in 0..vm_count {
        let record = HolderRecord {
            vm_id: format!("vm-{index}"),
            data_centre_id: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
            peer_address: SocketAddr::from(([10, 0, 0, index as u8], 7_000)),
            sequence: 1,
            is_closed: false,
            sent_at: ClockReading::default(),
            limits_active_for: Duration::ZERO,
            accounts: Vec::new(),
        };
        ledger.apply(index as u64, format!("vm-{index}/1"), record);
    }
    ledger
}

#[test]
fn every_vm_of_a_small_fleet_draws() {
    let allocators = AllocatorVms::select(&ledger_of(8));

    assert!((0..8).all(|index| allocators.contains(&format!("vm-{index}"))));
    assert!(allocators.contains("vm-that-has-just-started"));
}

#[test]
fn a_few_vms_of_each_data_centre_draw_in_a_large_fleet() {
    let allocators = AllocatorVms::select(&ledger_of(86));

    assert_eq!(allocators.count(), 12);
    for data_centre in 0..4 {
        let in_data_centre = (0..86).filter(|index| index % 4 == data_centre);
        let drawing =
            in_data_centre.filter(|index| allocators.contains(&format!("vm-{index}"))).count();
        assert_eq!(drawing, 3);
    }
    assert!(!allocators.contains("vm-that-has-just-started"));
}

#[test]
fn a_vm_that_leaves_changes_the_role_of_at_most_one_other_vm() {
    let all = AllocatorVms::select(&ledger_of(86));
    let fewer = AllocatorVms::select(&ledger_of(85));

    let changed = (0..85).filter(|index| {
        let vm_id = format!("vm-{index}");
        all.contains(&vm_id) != fewer.contains(&vm_id)
    });

    assert!(changed.count() <= 1);
}
