use std::time::Duration;

use super::crash_fleet::{CrashFleetPlan, play};

/// The arrivals that the rule allows after the third crash and the contact time.
const MAX_LATE_ARRIVALS: usize = 3;

fn plan(vm_count: usize, first_copies: usize, seed: u64) -> CrashFleetPlan {
    CrashFleetPlan {
        vm_count,
        first_copies,
        copy_interval: Duration::from_millis(100),
        restarts: Vec::new(),
        duration: Duration::from_secs(15),
        seed,
    }
}

#[test]
fn copies_at_all_vms_reach_few_servers_after_the_third_crash() {
    for vm_count in [7, 60, 336] {
        for first_copies in [1, 3, 10, 100] {
            for seed in 0..2 {
                let outcome = play(&plan(vm_count, first_copies, seed));

                let late = outcome.late_arrivals(&[]);
                let crashes = outcome.crashes.len();
                println!("{vm_count} VMs, {first_copies} copies: {crashes} crashes, {late} late");
                assert!(late <= MAX_LATE_ARRIVALS, "{vm_count} VMs, {first_copies}, seed {seed}");
                assert!(crashes <= first_copies + 2, "{crashes} of {first_copies}, seed {seed}");
            }
        }
    }
}

#[test]
fn vms_that_restart_learn_what_crashes_servers_within_the_contact_time() {
    for vm_count in [7, 60, 336] {
        let restarts: Vec<_> = (0..vm_count / 2)
            .map(|vm| (vm, Duration::from_millis(5_000 + 20 * vm as u64)))
            .collect();
        for seed in 0..2 {
            let plan = CrashFleetPlan { restarts: restarts.clone(), ..plan(vm_count, 3, seed) };

            let outcome = play(&plan);

            let late = outcome.late_arrivals(&restarts);
            println!(
                "{vm_count} VMs, half restart: {} crashes, {late} late",
                outcome.crashes.len()
            );
            assert!(late <= MAX_LATE_ARRIVALS, "{vm_count} VMs, seed {seed}: {late}");
        }
    }
}
