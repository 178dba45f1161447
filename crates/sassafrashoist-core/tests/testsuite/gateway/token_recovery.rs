//! Replays a loss of power of all VMs in virtual time: tokens that an account paid for and that no
//! VM can spend afterwards.

use std::time::Duration;

use super::growing_fleet::GrowingFleet;

const REQUEST_USE: u64 = 1_200;
/// The tokens that one VM uses in a second: four requests.
const USE_PER_VM_S: u64 = 4 * REQUEST_USE;
const ACCOUNT_COUNT: u64 = 8;
/// How long the paid tokens last.
const LASTS_S: u64 = 54;
const POWER_LOSS_AT: Duration = Duration::from_secs(40);
const RECOVERED_AT: Duration = Duration::from_secs(46);
/// The largest fraction of the unspent tokens that may be out of reach.
const MAX_FRACTION: f64 = 0.2;
/// VMs with a fraction of a core read the ledger up to this long after their start.
const START_JITTER: Duration = Duration::from_millis(2_000);

/// Returns the fraction of the tokens unspent at the power loss that is out of reach six seconds
/// after it.
fn fraction_out_of_reach(vm_count: usize, down: Duration, is_sticky: bool) -> f64 {
    let paid_tokens = vm_count as u64 * USE_PER_VM_S * LASTS_S / ACCOUNT_COUNT;
    let mut fleet = GrowingFleet::with_load(vm_count, paid_tokens, REQUEST_USE);
    fleet.is_sticky = is_sticky;
    fleet.run_until(POWER_LOSS_AT);
    let before = fleet.distribution();
    let refused_before = fleet.observed.refused_count;

    fleet.lose_power(down, START_JITTER);
    fleet.run_until(RECOVERED_AT);

    let after = fleet.distribution();
    println!(
        "{vm_count} VMs, down {down:?}: before {before:?}, out {}; after {after:?}, out {}; {refused_before} and {} of {} \
         requests refused, {} calls, {} transfers",
        before.out_of_reach(),
        after.out_of_reach(),
        fleet.observed.refused_count,
        fleet.observed.request_count,
        fleet.observed.call_count,
        fleet.observed.transfer_count,
    );
    assert!(after.out_of_reach() >= 0, "{after:?}: tokens are counted twice");
    after.out_of_reach() as f64 / (before.paid - before.spent) as f64
}

fn assert_fraction_below(vm_count: usize, down: Duration, max_fraction: f64) {
    for is_sticky in [false, true] {
        let fraction = fraction_out_of_reach(vm_count, down, is_sticky);
        println!("{vm_count} VMs, down {down:?}, sticky {is_sticky}: {fraction:.3}");
        assert!(fraction < max_fraction, "{vm_count} VMs, down {down:?}: {fraction:.3}");
    }
}

// VMs that read the ledger a second or two after their start returned nothing, because the records
// that other VMs wrote meanwhile made their clocks look as if they were behind.
#[test]
fn most_tokens_are_in_reach_again_after_a_short_loss_of_power() {
    for vm_count in [7, 71] {
        for down_ms in [640, 900] {
            assert_fraction_below(vm_count, Duration::from_millis(down_ms), MAX_FRACTION);
        }
    }
}
