use std::time::Duration;

use sassafrashoist_core::gateway::read_patience::ReadPatience;

use super::log_read_fleet::{Cut, LogReadOutcome, LogReadPlan, ReadPolicy, play, quantile};

/// The time after which a configuration has to be active everywhere.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(4);
const VM_COUNTS: [usize; 4] = [7, 60, 295, 336];
/// The sizes of configurations with 29 and with 1,430 routes.
const SMALL_CONFIG_BYTES: f64 = 9_000.0;
const LARGE_CONFIG_BYTES: f64 = 415_000.0;

const NEW_POLICY: ReadPolicy =
    ReadPolicy { has_patience: true, has_backoff: true, has_precedence: true, keeps_pages: true };
/// A timeout of 0.7 s, a delay of 150 ms, and no order.
const OLD_POLICY: ReadPolicy = ReadPolicy {
    has_patience: false,
    has_backoff: false,
    has_precedence: false,
    keeps_pages: false,
};

const POLICIES: [(&str, ReadPolicy); 7] = [
    ("old", OLD_POLICY),
    ("patience", ReadPolicy { has_patience: true, ..OLD_POLICY }),
    ("backoff", ReadPolicy { has_backoff: true, ..OLD_POLICY }),
    ("precedence", ReadPolicy { has_precedence: true, ..OLD_POLICY }),
    ("patience, backoff", ReadPolicy { has_patience: true, has_backoff: true, ..OLD_POLICY }),
    ("patience, precedence", ReadPolicy { has_patience: true, has_precedence: true, ..OLD_POLICY }),
    ("all", NEW_POLICY),
];

fn plan(vm_count: usize, config_bytes: f64, policy: ReadPolicy) -> LogReadPlan {
    LogReadPlan { vm_count, config_bytes, cut: Cut::Unreachable, policy }
}

fn longest_timeout(vm_count: usize) -> Duration {
    let mut patience = ReadPatience::default();
    (0..100).for_each(|_| patience.record_failure());
    patience.idle_timeout(Some(vm_count))
}

/// Prints a row of the table in docs/CAPACITY.md; `--nocapture` shows it.
fn print(name: &str, plan: &LogReadPlan, outcome: &LogReadOutcome) {
    let seconds = |delay: Option<Duration>| match delay {
        Some(delay) => format!("{:.2}", delay.as_secs_f64()),
        None => "never".to_owned(),
    };
    println!(
        "| {name} | {:?} | {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {} |",
        plan.cut,
        plan.vm_count,
        plan.config_bytes / 1_000.0,
        seconds(outcome.config_delay(0.5)),
        seconds(outcome.config_delay(0.99)),
        seconds(outcome.config_delay(1.0)),
        seconds(quantile(&outcome.servers_delays, 1.0)),
        seconds(quantile(&outcome.ledger_delays, 1.0)),
        outcome.sent_bytes / 1e6,
        outcome.wasted_bytes / 1e6,
        outcome.given_up_count,
    );
}

fn is_in_time(outcome: &LogReadOutcome) -> bool {
    outcome.config_delay(1.0).is_some_and(|delay| delay <= MAX_CONFIG_DELAY)
}

#[test]
fn all_vms_have_the_configuration_in_time_after_a_cut_of_all() {
    for vm_count in VM_COUNTS {
        for config_bytes in [SMALL_CONFIG_BYTES, LARGE_CONFIG_BYTES] {
            let outcome = play(plan(vm_count, config_bytes, NEW_POLICY));

            assert!(is_in_time(&outcome), "{vm_count} VMs, {config_bytes} bytes");
        }
    }
}

// A call that was made during the cut and is never answered ends after the longest timeout.
#[test]
fn calls_that_are_never_answered_delay_the_configuration_by_one_timeout_at_most() {
    for vm_count in VM_COUNTS {
        for config_bytes in [SMALL_CONFIG_BYTES, LARGE_CONFIG_BYTES] {
            let plan = plan(vm_count, config_bytes, NEW_POLICY);
            let after_lost_calls = play(LogReadPlan { cut: Cut::NoResponse, ..plan });
            let after_closed_way = play(plan);

            let delay = after_lost_calls.config_delay(1.0).unwrap();
            let limit = after_closed_way.config_delay(1.0).unwrap() + longest_timeout(vm_count);
            assert!(delay <= limit, "{plan:?}: {delay:?}");
        }
    }
}

#[test]
fn a_thousand_vms_have_a_small_configuration_in_time_after_a_cut_of_all() {
    let outcome = play(plan(1_000, SMALL_CONFIG_BYTES, NEW_POLICY));

    assert!(is_in_time(&outcome));
}

// Reads that are given up and repeated keep the service busy.
#[test]
fn vms_that_give_up_reads_after_a_fixed_time_do_not_get_a_large_configuration_in_time() {
    let outcome = play(plan(295, LARGE_CONFIG_BYTES, OLD_POLICY));

    assert!(!is_in_time(&outcome));
    assert!(outcome.wasted_bytes > outcome.sent_bytes / 2.0);
}

#[test]
fn neither_patience_nor_precedence_alone_is_enough_for_a_large_configuration_at_many_vms() {
    let in_time: Vec<_> = POLICIES
        .into_iter()
        .filter(|(_, policy)| is_in_time(&play(plan(336, LARGE_CONFIG_BYTES, *policy))))
        .map(|(name, _)| name)
        .collect();

    assert_eq!(in_time, ["patience, precedence", "all"]);
}

#[test]
#[ignore = "prints the table for docs/CAPACITY.md"]
fn print_all_policies() {
    for config_bytes in [SMALL_CONFIG_BYTES, LARGE_CONFIG_BYTES] {
        for vm_count in [7, 60, 295, 336, 380, 420, 500, 1_000] {
            for (name, policy) in POLICIES {
                for cut in [Cut::Unreachable, Cut::NoResponse] {
                    let plan = LogReadPlan { cut, ..plan(vm_count, config_bytes, policy) };
                    print(name, &plan, &play(plan));
                }
            }
        }
    }
}

// The bound is the time in which a change has to be active, not the timeout of the implementation.
#[test]
fn all_vms_have_the_configuration_in_time_after_calls_that_were_never_answered() {
    for vm_count in VM_COUNTS {
        for config_bytes in [SMALL_CONFIG_BYTES, LARGE_CONFIG_BYTES] {
            let plan = plan(vm_count, config_bytes, NEW_POLICY);

            let outcome = play(LogReadPlan { cut: Cut::NoResponse, ..plan });

            let last = outcome.config_delay(1.0);
            assert!(is_in_time(&outcome), "{vm_count} VMs, {config_bytes} bytes: {last:?}");
        }
    }
}
