//! A server's limit holds for the sum over all VMs, and is used.

use std::time::Duration;

use super::limited_server_fleet::{Faults, LimitedServerFleet, Outcome};

const VM_COUNTS: [usize; 3] = [7, 60, 336];
const LIMITS_PER_S: [f64; 3] = [0.3, 1.4, 20.0];
const DURATION: Duration = Duration::from_secs(60);

fn seconds(from: u64, to: u64) -> std::ops::Range<Duration> {
    Duration::from_secs(from)..Duration::from_secs(to)
}

/// Runs fleets of all sizes with all limits and returns the lowest share used.
fn run_fleets(name: &str, faults: &Faults) -> f64 {
    let mut lowest_share = f64::INFINITY;
    for vm_count in VM_COUNTS {
        for limit_per_s in LIMITS_PER_S {
            let mut fleet = LimitedServerFleet::new(vm_count, limit_per_s, faults.clone());
            let Outcome { most_in_window, used_share, .. } =
                fleet.run(10.0 + 4.0 * limit_per_s, DURATION);
            println!(
                "| {name} | {vm_count} | {limit_per_s} | {most_in_window} | {:.1} | {used_share:.2} |",
                6.0 * limit_per_s + 5.0
            );
            assert!(
                most_in_window as f64 <= 1.5 * limit_per_s * 4.0 + 5.0,
                "{name}: {vm_count} VMs, limit {limit_per_s}: {most_in_window} in 4 s"
            );
            lowest_share = lowest_share.min(used_share);
        }
    }
    lowest_share
}

#[test]
fn limit_holds_and_is_used_without_faults() {
    assert!(run_fleets("none", &Faults::default()) >= 0.8);
}

#[test]
fn limit_holds_when_the_issuer_dies() {
    let faults = Faults { stopped: vec![(0, seconds(20, 999))], ..Faults::default() };

    assert!(run_fleets("issuer dies at 20 s", &faults) >= 0.6);
}

#[test]
fn limit_holds_when_the_issuer_and_its_backup_die() {
    let stopped = vec![(0, seconds(20, 999)), (1, seconds(20, 999))];

    run_fleets("issuer and backup die at 20 s", &Faults { stopped, ..Faults::default() });
}

#[test]
fn limit_holds_when_the_issuer_freezes() {
    let stopped = vec![(0, seconds(20, 25)), (0, seconds(40, 60))];

    run_fleets("issuer frozen 20 to 25 s, 40 to 60 s", &Faults { stopped, ..Faults::default() });
}

#[test]
fn limit_holds_when_the_issuer_is_cut_off() {
    let cut_off = vec![(0, seconds(20, 50))];

    run_fleets("issuer cut off 20 to 50 s", &Faults { cut_off, ..Faults::default() });
}

#[test]
fn limit_holds_when_the_issuer_and_its_backup_are_separated() {
    let separated = vec![(0, 1, seconds(20, 50)), (0, 2, seconds(20, 50))];

    run_fleets("issuer separated from two VMs", &Faults { separated, ..Faults::default() });
}

#[test]
fn limit_holds_without_the_log_service() {
    let faults = Faults { log_outages: vec![seconds(20, 50)], ..Faults::default() };

    assert!(run_fleets("log service away 20 to 50 s", &faults) >= 0.5);
}

#[test]
fn limit_holds_when_vms_start_that_become_the_issuer() {
    let late = vec![(0, Duration::from_secs(40)), (1, Duration::from_secs(20))];

    run_fleets("better-ranked VMs start at 20 and 40 s", &Faults { late, ..Faults::default() });
}

#[test]
fn limit_holds_when_the_log_service_is_away_while_the_issuer_dies() {
    let faults = Faults {
        stopped: vec![(0, seconds(25, 45))],
        log_outages: vec![seconds(20, 50)],
        ..Faults::default()
    };

    run_fleets("log service away, issuer dies", &faults);
}
