use std::time::Duration;

use proptest::prelude::*;

use super::simulated_fleet::{AppendScenario, ProcessEnd, SimulatedFleet};

const VM_COUNT: usize = 4;
const PAID_TOKENS: u64 = 200_000;

#[derive(Debug, Clone)]
enum Step {
    AdvanceClock(u64),
    BeginRequest { vm: usize, tokens: u64 },
    EndRequest { vm: usize, used_per_mille: u64 },
    SyncWithLog { vm: usize, scenario: AppendScenario },
    ExecuteLateAppend,
    Transfer { from: usize, to: usize, needed: u64, lost_responses: u32 },
    Restart { vm: usize, end: ProcessEnd, down_ms: u64 },
    RestartAll { end: ProcessEnd, down_ms: u64 },
    Close { vm: usize },
    TopUp { tokens: u64 },
}

fn append_scenarios() -> impl Strategy<Value = AppendScenario> {
    prop_oneof![
        6 => Just(AppendScenario::Acknowledged),
        1 => Just(AppendScenario::AppendedWithoutResponse),
        1 => Just(AppendScenario::LateWithoutResponse),
        1 => Just(AppendScenario::LostWithoutResponse),
        1 => Just(AppendScenario::Rejected),
    ]
}

fn process_ends() -> impl Strategy<Value = ProcessEnd> {
    prop_oneof![Just(ProcessEnd::Killed), Just(ProcessEnd::PowerLost)]
}

fn steps() -> impl Strategy<Value = Step> {
    let vm = 0..VM_COUNT;
    prop_oneof![
        4 => (50_u64..1_500).prop_map(Step::AdvanceClock),
        10 => (vm.clone(), 100_u64..12_000)
            .prop_map(|(vm, tokens)| Step::BeginRequest { vm, tokens }),
        6 => (vm.clone(), 0_u64..=1_000)
            .prop_map(|(vm, used_per_mille)| Step::EndRequest { vm, used_per_mille }),
        12 => (vm.clone(), append_scenarios())
            .prop_map(|(vm, scenario)| Step::SyncWithLog { vm, scenario }),
        1 => Just(Step::ExecuteLateAppend),
        3 => (vm.clone(), vm.clone(), 100_u64..20_000, 0_u32..3).prop_map(
            |(from, to, needed, lost_responses)| Step::Transfer { from, to, needed, lost_responses }
        ),
        1 => (vm.clone(), process_ends(), 200_u64..8_000)
            .prop_map(|(vm, end, down_ms)| Step::Restart { vm, end, down_ms }),
        1 => (process_ends(), 200_u64..3_000)
            .prop_map(|(end, down_ms)| Step::RestartAll { end, down_ms }),
        1 => vm.prop_map(|vm| Step::Close { vm }),
        1 => (1_000_u64..40_000).prop_map(|tokens| Step::TopUp { tokens }),
    ]
}

fn apply_step(fleet: &mut SimulatedFleet, step: Step) {
    match step {
        Step::AdvanceClock(ms) => fleet.advance_clock(Duration::from_millis(ms)),
        Step::BeginRequest { vm, tokens } => drop(fleet.begin_request(vm, tokens)),
        Step::EndRequest { vm, used_per_mille } => fleet.end_request(vm, used_per_mille),
        Step::SyncWithLog { vm, scenario } => fleet.sync_with_log(vm, scenario),
        Step::ExecuteLateAppend => fleet.execute_late_append(),
        Step::Transfer { from, to, needed, lost_responses } => {
            fleet.transfer(from, to, needed, lost_responses);
        }
        Step::Restart { vm, end, down_ms } => {
            fleet.restart(vm, end, Duration::from_millis(down_ms));
        }
        Step::RestartAll { end, down_ms } => {
            fleet.restart(0, end, Duration::from_millis(down_ms));
            (1..VM_COUNT).for_each(|vm| fleet.restart(vm, end, Duration::ZERO));
        }
        Step::Close { vm } => {
            fleet.close(vm);
            fleet.restart(vm, ProcessEnd::Killed, Duration::from_millis(300));
        }
        Step::TopUp { tokens } => {
            let accounts = fleet.config.accounts.as_mut().unwrap();
            let paid = accounts[0].paid_tokens.unwrap();
            accounts[0].paid_tokens = Some(paid + tokens);
            fleet.config.version += 1;
        }
    }
}

/// Lets every VM use all tokens that it can get, so that tokens that were counted twice are also
/// used twice.
fn spend_all_tokens(fleet: &mut SimulatedFleet) {
    for _ in 0..30 {
        for vm in 0..VM_COUNT {
            fleet.sync_with_log(vm, AppendScenario::Acknowledged);
            while fleet.begin_request(vm, 500) {}
            while fleet.has_request_in_progress(vm) {
                fleet.end_request(vm, 1_000);
            }
        }
        fleet.advance_clock(Duration::from_millis(300));
    }
    fleet.advance_clock(Duration::from_secs(60));
    for vm in 0..VM_COUNT {
        while fleet.begin_request(vm, 100) {
            fleet.end_request(vm, 1_000);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn tokens_used_never_exceed_what_was_paid_for(
        steps in proptest::collection::vec(steps(), 1..250)
    ) {
        let mut fleet = SimulatedFleet::new(VM_COUNT, PAID_TOKENS);

        for step in steps {
            apply_step(&mut fleet, step);

            let paid = fleet.config.accounts.as_ref().unwrap()[0].paid_tokens.unwrap();
            prop_assert!(fleet.drawn_tokens() <= paid as i64);
            prop_assert!(fleet.used_tokens <= paid);
        }
        spend_all_tokens(&mut fleet);

        let paid = fleet.config.accounts.as_ref().unwrap()[0].paid_tokens.unwrap();
        prop_assert!(fleet.used_tokens <= paid, "{} used of {}", fleet.used_tokens, paid);
    }
}
