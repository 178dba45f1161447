use std::time::Duration;

use proptest::prelude::*;

use super::token_world::{AppendFate, EndOfRun, TokenWorld};

const VM_COUNT: usize = 4;
const PAID_TOKENS: u64 = 200_000;

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Begin { vm: usize, tokens: u64 },
    End { vm: usize, used_per_mille: u64 },
    Look { vm: usize, fate: AppendFate },
    ExecuteLate,
    Transfer { from: usize, to: usize, needed: u64, lost_answers: u32 },
    Restart { vm: usize, how: EndOfRun, down_ms: u64 },
    RestartAll { how: EndOfRun, down_ms: u64 },
    Close { vm: usize },
    TopUp { tokens: u64 },
}

fn fates() -> impl Strategy<Value = AppendFate> {
    prop_oneof![
        6 => Just(AppendFate::Acknowledged),
        1 => Just(AppendFate::DoneUnanswered),
        1 => Just(AppendFate::LateUnanswered),
        1 => Just(AppendFate::NeverDoneUnanswered),
        1 => Just(AppendFate::Refused),
    ]
}

fn ends() -> impl Strategy<Value = EndOfRun> {
    prop_oneof![Just(EndOfRun::Killed), Just(EndOfRun::PowerLost)]
}

fn steps() -> impl Strategy<Value = Step> {
    let vm = 0..VM_COUNT;
    prop_oneof![
        4 => (50_u64..1_500).prop_map(Step::Pass),
        10 => (vm.clone(), 100_u64..12_000).prop_map(|(vm, tokens)| Step::Begin { vm, tokens }),
        6 => (vm.clone(), 0_u64..=1_000)
            .prop_map(|(vm, used_per_mille)| Step::End { vm, used_per_mille }),
        12 => (vm.clone(), fates()).prop_map(|(vm, fate)| Step::Look { vm, fate }),
        1 => Just(Step::ExecuteLate),
        3 => (vm.clone(), vm.clone(), 100_u64..20_000, 0_u32..3).prop_map(
            |(from, to, needed, lost_answers)| Step::Transfer { from, to, needed, lost_answers }
        ),
        1 => (vm.clone(), ends(), 200_u64..8_000)
            .prop_map(|(vm, how, down_ms)| Step::Restart { vm, how, down_ms }),
        1 => (ends(), 200_u64..3_000).prop_map(|(how, down_ms)| Step::RestartAll { how, down_ms }),
        1 => vm.prop_map(|vm| Step::Close { vm }),
        1 => (1_000_u64..40_000).prop_map(|tokens| Step::TopUp { tokens }),
    ]
}

fn take(world: &mut TokenWorld, step: Step) {
    match step {
        Step::Pass(ms) => world.pass(Duration::from_millis(ms)),
        Step::Begin { vm, tokens } => drop(world.begin_request(vm, tokens)),
        Step::End { vm, used_per_mille } => world.end_request(vm, used_per_mille),
        Step::Look { vm, fate } => world.look(vm, fate),
        Step::ExecuteLate => world.execute_late(),
        Step::Transfer { from, to, needed, lost_answers } => {
            world.transfer(from, to, needed, lost_answers);
        }
        Step::Restart { vm, how, down_ms } => {
            world.restart(vm, how, Duration::from_millis(down_ms));
        }
        Step::RestartAll { how, down_ms } => {
            world.restart(0, how, Duration::from_millis(down_ms));
            (1..VM_COUNT).for_each(|vm| world.restart(vm, how, Duration::ZERO));
        }
        Step::Close { vm } => {
            world.close(vm);
            world.restart(vm, EndOfRun::Killed, Duration::from_millis(300));
        }
        Step::TopUp { tokens } => {
            let accounts = world.config.accounts.as_mut().unwrap();
            let paid = accounts[0].paid_tokens.unwrap();
            accounts[0].paid_tokens = Some(paid + tokens);
            world.config.version += 1;
        }
    }
}

/// Lets every VM use all that it can get, so that tokens that are counted twice are used twice.
fn use_up(world: &mut TokenWorld) {
    for _ in 0..30 {
        for vm in 0..VM_COUNT {
            world.look(vm, AppendFate::Acknowledged);
            while world.begin_request(vm, 500) {}
            while world.has_request(vm) {
                world.end_request(vm, 1_000);
            }
        }
        world.pass(Duration::from_millis(300));
    }
    world.pass(Duration::from_secs(60));
    for vm in 0..VM_COUNT {
        while world.begin_request(vm, 100) {
            world.end_request(vm, 1_000);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn tokens_used_never_exceed_what_was_paid_for(
        steps in proptest::collection::vec(steps(), 1..250)
    ) {
        let mut world = TokenWorld::new(VM_COUNT, PAID_TOKENS);

        for step in steps {
            take(&mut world, step);

            let paid = world.config.accounts.as_ref().unwrap()[0].paid_tokens.unwrap();
            prop_assert!(world.drawn_tokens() <= paid as i64);
            prop_assert!(world.used_tokens <= paid);
        }
        use_up(&mut world);

        let paid = world.config.accounts.as_ref().unwrap()[0].paid_tokens.unwrap();
        prop_assert!(world.used_tokens <= paid, "{} used of {}", world.used_tokens, paid);
    }
}
