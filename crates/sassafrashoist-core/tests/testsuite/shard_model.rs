use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::shard_world::{BUDGET, World, data_centre_id};
use sassafrashoist_core::ids::Tokens;

/// The upper bound on the steps of a test case, exclusive.
const MAX_STEPS: usize = 250;
/// The number of test cases, unless the environment variable `PROPTEST_CASES` sets another.
const DEFAULT_CASES: u32 = 60;

#[derive(Debug, Clone)]
enum Transition {
    TopUp { tokens: Tokens, favoured: usize },
    ReadLog { node: usize, max_count: usize },
    Step { node: usize, repeats_appends: bool },
    Admit { node: usize, key: u8, tokens: Option<Tokens> },
    Settle { pick: usize, used_per_mille: u64 },
    RequestTokens { from: usize, to: usize, tokens: Tokens },
    Deliver { pick: usize, is_repeated: bool },
    Drop { pick: usize },
    Crash { node: usize },
    Pause { node: usize, is_paused: bool },
    Cut { a: usize, b: usize, is_cut: bool },
    CutLog { node: usize, is_cut: bool },
    PauseDuringRounds { node: usize, rounds: usize },
    RepairAndRun,
}

/// The reference state, as of a single ledger without partitions: the tokens paid for.
#[derive(Debug, Clone)]
struct ReferenceState {
    data_centre_count: usize,
    vm_count: usize,
    paid_tokens: Tokens,
}

impl ReferenceStateMachine for ReferenceState {
    type State = ReferenceState;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<ReferenceState> {
        (2..=4usize, 1..=3usize)
            .prop_map(|(data_centre_count, vm_count)| ReferenceState {
                data_centre_count,
                vm_count,
                paid_tokens: 0,
            })
            .boxed()
    }

    fn transitions(state: &ReferenceState) -> BoxedStrategy<Transition> {
        let node = 0..state.data_centre_count * state.vm_count;
        let pair = (node.clone(), node.clone());
        prop_oneof![
            2 => (1..500_000u64, 0..state.data_centre_count)
                .prop_map(|(tokens, favoured)| Transition::TopUp { tokens, favoured }),
            12 => (node.clone(), 1..20usize)
                .prop_map(|(node, max_count)| Transition::ReadLog { node, max_count }),
            20 => (node.clone(), any::<bool>())
                .prop_map(|(node, repeats_appends)| Transition::Step { node, repeats_appends }),
            14 => (node.clone(), 0..24u8, prop::option::of(1..100_000u64))
                .prop_map(|(node, key, tokens)| Transition::Admit { node, key, tokens }),
            8 => (any::<usize>(), 0..=1_000u64)
                .prop_map(|(pick, used_per_mille)| Transition::Settle { pick, used_per_mille }),
            6 => (pair.clone(), 1..300_000u64)
                .prop_map(|((from, to), tokens)| Transition::RequestTokens { from, to, tokens }),
            30 => (any::<usize>(), prop::bool::weighted(0.15))
                .prop_map(|(pick, is_repeated)| Transition::Deliver { pick, is_repeated }),
            3 => any::<usize>().prop_map(|pick| Transition::Drop { pick }),
            1 => node.clone().prop_map(|node| Transition::Crash { node }),
            2 => (node.clone(), any::<bool>())
                .prop_map(|(node, is_paused)| Transition::Pause { node, is_paused }),
            3 => (pair, any::<bool>())
                .prop_map(|((a, b), is_cut)| Transition::Cut { a, b, is_cut }),
            2 => (node.clone(), any::<bool>())
                .prop_map(|(node, is_cut)| Transition::CutLog { node, is_cut }),
            2 => (node.clone(), 1..6usize)
                .prop_map(|(node, rounds)| Transition::PauseDuringRounds { node, rounds }),
            4 => Just(Transition::RepairAndRun),
        ]
        .boxed()
    }

    fn apply(mut state: ReferenceState, transition: &Transition) -> ReferenceState {
        if let Transition::TopUp { tokens, .. } = transition {
            state.paid_tokens += tokens;
        }
        state
    }
}

struct BudgetShards;

impl StateMachineTest for BudgetShards {
    type SystemUnderTest = World;
    type Reference = ReferenceState;

    fn init_test(state: &ReferenceState) -> World {
        World::new(state.data_centre_count, state.vm_count)
    }

    fn apply(mut world: World, _: &ReferenceState, transition: Transition) -> World {
        match transition {
            Transition::TopUp { tokens, favoured } => world.top_up(tokens, favoured),
            Transition::ReadLog { node, max_count } => world.read_log(node, max_count),
            Transition::Step { node, repeats_appends } => world.step(node, repeats_appends),
            Transition::Admit { node, key, tokens } => {
                let tokens = tokens.unwrap_or_else(|| world.held_tokens(node));
                world.admit(node, &format!("k{key}"), tokens);
            }
            Transition::Settle { pick, used_per_mille } => world.settle(pick, used_per_mille),
            Transition::RequestTokens { from, to, tokens } => {
                world.request_tokens(from, to, tokens)
            }
            Transition::Deliver { pick, is_repeated } => world.deliver(pick, is_repeated),
            Transition::Drop { pick } => world.drop_message(pick),
            Transition::Crash { node } => world.crash(node),
            Transition::Pause { node, is_paused } => world.nodes[node].is_paused = is_paused,
            Transition::Cut { a, b, is_cut } => world.cut_link(a, b, is_cut),
            Transition::CutLog { node, is_cut } => world.cut_log(node, is_cut),
            Transition::PauseDuringRounds { node, rounds } => {
                world.pause_during_rounds(node, rounds)
            }
            Transition::RepairAndRun => {
                world.repair();
                world.run_all(4);
            }
        }
        world
    }

    fn check_invariants(world: &World, state: &ReferenceState) {
        check_no_overspend(world, state.paid_tokens);
        check_accounts_balance(world);
        check_conservation(world, state.paid_tokens);
        check_keys_run_once(world);
    }
}

/// A request counts with the tokens it used, or with its whole reservation while these are unknown.
fn check_no_overspend(world: &World, paid_tokens: Tokens) {
    let dispatches = world.dispatched.values().flatten();
    let spent_tokens: Tokens = dispatches
        .map(|dispatched| dispatched.used_tokens.unwrap_or(dispatched.reserved_tokens))
        .sum();
    assert!(spent_tokens <= paid_tokens, "spent {spent_tokens} of {paid_tokens} paid");
}

fn check_accounts_balance(world: &World) {
    for index in 0..world.nodes.len() {
        let account = world.replica(index).owner().account(BUDGET);
        assert!(account.is_balanced(), "{account:?}");
    }
}

/// paid = undrawn + drawn, and every drawn token is held, reserved, settled, in transfer or
/// stranded. Checked only if the primary of each data centre's newest view has entered that view.
fn check_conservation(world: &World, paid_tokens: Tokens) {
    let ledger = world.whole_ledger();
    let mut accounted_tokens: i128 = 0;
    let mut in_transfer_tokens: i128 = 0;
    let mut open_tokens: i128 = 0;
    let mut is_state_lost = false;
    for index in 0..world.data_centre_count {
        let id = data_centre_id(index);
        let share = ledger.share(&id, BUDGET);
        accounted_tokens += i128::from(share.undrawn_tokens());
        accounted_tokens += i128::from(share.live_drawn_tokens());
        accounted_tokens += i128::from(share.lost_drawn_tokens);
        is_state_lost |= world.fresh_view_count(&id) > 1;
        let Some(primary) = world.newest_primary(&ledger, &id) else {
            return;
        };
        let account = world.replica(primary).owner().account(BUDGET);
        assert!(account.drawn_tokens <= share.live_drawn_tokens());
        in_transfer_tokens += i128::from(account.sent_tokens);
        in_transfer_tokens -= i128::from(account.received_tokens);
        let open = world.replica(primary).transfers().open_transfers();
        open_tokens += open.iter().map(|transfer| i128::from(transfer.tokens)).sum::<i128>();
    }
    assert_eq!(accounted_tokens, i128::from(paid_tokens));
    if !is_state_lost {
        assert!((0..=open_tokens).contains(&in_transfer_tokens), "{in_transfer_tokens}");
    }
}

/// A key runs once in its data centre unless the primary and the backup of its shard both lost
/// their state.
fn check_keys_run_once(world: &World) {
    for (key, dispatches) in &world.dispatched {
        let index: usize = key.split('/').next().unwrap().parse().unwrap();
        let id = data_centre_id(index);
        let is_state_lost = world.fresh_view_count(&id) > 1;
        assert!(dispatches.len() == 1 || is_state_lost, "{key} ran {} times", dispatches.len());
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    ProptestConfig { cases: cases.unwrap_or(DEFAULT_CASES), ..ProptestConfig::default() }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn budget_shards_never_overspend_and_lose_no_token(sequential 1..MAX_STEPS => BudgetShards);
}
