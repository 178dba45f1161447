//! Tests of the choice of the VMs that open connections for others.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::relay_vms::{RelayFailure, RelayTarget, RelayVms};

const NOW: Duration = Duration::from_secs(100);
/// The time in which a VM finds out that a path is back.
const REGAINED_AFTER: Duration = Duration::from_millis(400);

fn vms(count: u16) -> Vec<FleetVm> {
    let vm = |index: u16| FleetVm {
        vm_id: format!("vm-{index}"),
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + index)),
        data_centre_id: "a".to_owned(),
    };
    (0..count).map(vm).collect()
}

fn choose(relays: &RelayVms, vms: &[FleetVm], now: Duration) -> Option<String> {
    let (pool_id, data_centre_id) = ("llm".to_owned(), "a".to_owned());
    let target = RelayTarget { pool_id: &pool_id, data_centre_id: &data_centre_id };
    relays.choose(vms, target, &[], 1, now).map(|vm| vm.vm_id.clone())
}

// A VM that did not reach a server just before it started again could not help for two seconds.
#[test]
fn vm_without_a_path_a_moment_ago_helps_again_if_no_other_can() {
    let vms = vms(1);
    let mut relays = RelayVms::default();
    relays.record_failure(&"vm-0".to_owned(), &"llm".to_owned(), RelayFailure::NoPath, NOW);

    let at_once = choose(&relays, &vms, NOW);
    let later = choose(&relays, &vms, NOW + REGAINED_AFTER);

    assert_eq!((at_once, later.as_deref()), (None, Some("vm-0")));
}

#[test]
fn vm_without_a_path_a_moment_ago_is_asked_after_busy_ones() {
    let vms = vms(2);
    let mut relays = RelayVms::default();
    relays.record_failure(&"vm-0".to_owned(), &"llm".to_owned(), RelayFailure::NoPath, NOW);
    (0..50).for_each(|_| relays.begin(&"vm-1".to_owned()));

    let chosen = choose(&relays, &vms, NOW + REGAINED_AFTER);

    assert_eq!(chosen.as_deref(), Some("vm-1"));
}
