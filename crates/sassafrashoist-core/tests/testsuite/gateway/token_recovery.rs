//! Replays a loss of power of all VMs in virtual time: tokens that an account paid for and that no
//! VM can spend afterwards.

use std::time::Duration;

use super::growing_fleet::{Distribution, GrowingFleet};

const FLEET_SIZES: [usize; 4] = [7, 71, 83, 336];
const REQUEST_USE: u64 = 1_200;
/// The tokens that one VM uses in a second: four requests.
const USE_PER_VM_S: u64 = 4 * REQUEST_USE;
const ACCOUNT_COUNT: u64 = 8;
/// How long the paid tokens last.
const LASTS_S: u64 = 54;
const POWER_LOSS_AT: Duration = Duration::from_secs(40);
const RECOVERED_AT: Duration = Duration::from_secs(46);
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// VMs with a fraction of a core read the ledger up to this long after their start.
const START_JITTER: Duration = Duration::from_millis(2_000);
/// The largest fraction of the unspent tokens that may be out of reach.
const MAX_FRACTION: f64 = 0.2;

/// Checks at each moment that no token of an account counts twice.
fn run_until(fleet: &mut GrowingFleet, from: Duration, end: Duration) -> Vec<Distribution> {
    let mut now = from;
    while now < end {
        now += CHECK_INTERVAL;
        fleet.run_until(now);
        for found in fleet.distributions() {
            assert!(found.out_of_reach() >= 0, "at {now:?}: tokens count twice: {found:?}");
        }
    }
    fleet.distributions()
}

/// Returns the fraction of the tokens unspent at the loss of power that is out of reach six seconds
/// after it.
fn fraction_out_of_reach(vm_count: usize, down: Duration, is_sticky: bool) -> f64 {
    let paid_tokens = vm_count as u64 * USE_PER_VM_S * LASTS_S / ACCOUNT_COUNT;
    let mut fleet = GrowingFleet::with_load(vm_count, paid_tokens, REQUEST_USE);
    fleet.is_sticky = is_sticky;
    let before = run_until(&mut fleet, Duration::ZERO, POWER_LOSS_AT);

    fleet.lose_power(down, START_JITTER);
    let after = run_until(&mut fleet, POWER_LOSS_AT, RECOVERED_AT);

    let unspent: i64 = before.iter().map(|found| found.paid as i64 - found.spent as i64).sum();
    let held_by_clients: i64 = before.iter().map(|found| found.held_by_clients).sum();
    let out_of_reach: i64 = after.iter().map(Distribution::out_of_reach).sum();
    println!(
        "{vm_count} VMs, down {down:?}, sticky {is_sticky}: {out_of_reach} of {unspent} out of reach; \
         clients held {held_by_clients}; {} of {} requests refused, {} transfers",
        fleet.observed.refused_count, fleet.observed.request_count, fleet.observed.transfer_count,
    );
    out_of_reach as f64 / unspent as f64
}

fn assert_most_tokens_are_in_reach(down: Duration) {
    for vm_count in FLEET_SIZES {
        for is_sticky in [false, true] {
            let fraction = fraction_out_of_reach(vm_count, down, is_sticky);
            assert!(fraction < MAX_FRACTION, "{vm_count} VMs, down {down:?}: {fraction:.3}");
        }
    }
}

// VMs that read the ledger a second or two after their start returned nothing, because the records
// that other VMs wrote meanwhile made their clocks look as if they were behind.
#[test]
fn most_tokens_are_in_reach_again_after_a_short_loss_of_power() {
    assert_most_tokens_are_in_reach(Duration::from_millis(640));
}

#[test]
fn most_tokens_are_in_reach_again_after_a_loss_of_power_for_almost_a_second() {
    assert_most_tokens_are_in_reach(Duration::from_millis(900));
}
