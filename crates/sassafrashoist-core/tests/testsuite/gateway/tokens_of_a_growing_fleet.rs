use std::time::Duration;

use super::growing_fleet::GrowingFleet;

const FLEET_SIZES: [usize; 3] = [7, 60, 295];
const TARGET_FLEET_SIZE: usize = 336;
const RUN_TIME: Duration = Duration::from_secs(10);
/// The largest fraction of the drawn tokens that VMs which do not draw may hold.
const MAX_CLIENT_FRACTION: f64 = 0.05;

fn assert_tokens_reach_the_vms_that_draw(vm_count: usize) {
    let mut fleet = GrowingFleet::new(vm_count);

    fleet.run_until(RUN_TIME);

    let fraction = fleet.fraction_held_by_client_vms();
    let draws = &mut fleet.observed.draws;
    draws.sort_unstable();
    let last = draws.len() - 1;
    println!(
        "{vm_count} VMs: client VMs hold {fraction:.3}; {} draws, p50 {:?}, p99 {:?}; {} of {} \
         requests refused, {} calls",
        draws.len(),
        draws[last / 2],
        draws[last * 99 / 100],
        fleet.observed.refused_count,
        fleet.observed.request_count,
        fleet.observed.call_count,
    );
    assert!(fraction < MAX_CLIENT_FRACTION, "{vm_count} VMs: {fraction:.3}");
}

// The VMs that started first drew more than half of all tokens and kept them when the fleet grew.
#[test]
fn tokens_drawn_before_the_fleet_grew_reach_the_vms_that_draw() {
    FLEET_SIZES.into_iter().for_each(assert_tokens_reach_the_vms_that_draw);
}

#[test]
fn tokens_drawn_before_the_fleet_grew_to_its_target_size_reach_the_vms_that_draw() {
    assert_tokens_reach_the_vms_that_draw(TARGET_FLEET_SIZE);
}
