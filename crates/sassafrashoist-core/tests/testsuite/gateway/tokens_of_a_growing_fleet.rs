use std::time::Duration;

use super::growing_fleet::GrowingFleet;

const FLEET_SIZES: [usize; 4] = [7, 60, 295, 336];
const RUN_TIME: Duration = Duration::from_secs(10);
/// The largest fraction of the drawn tokens that VMs which do not draw may hold.
const MAX_CLIENT_FRACTION: f64 = 0.05;

// The VMs that started first drew more than half of all tokens and kept them when the fleet grew.
#[test]
fn tokens_drawn_before_the_fleet_grew_reach_the_vms_that_draw() {
    for vm_count in FLEET_SIZES {
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
}
