use super::shard_world::{BUDGET, World, data_centre_id};
use sassafrashoist_core::budgets::shard::ShardLocation;
use sassafrashoist_core::owner::transfer::{TransferRequest, TransferTable};

const PAID: u64 = 120_000;

/// Returns a world after a top-up, in which each data centre's shard has a primary and a backup.
fn world_with_pair(data_centre_count: usize, vm_count: usize) -> World {
    let mut world = World::new(data_centre_count, vm_count);
    world.top_up(PAID, 0);
    world.run_all(8);
    world
}

fn primary_of(world: &World, data_centre: usize) -> usize {
    world.newest_primary(&world.whole_ledger(), &data_centre_id(data_centre)).unwrap()
}

fn backup_of(world: &World, primary: usize) -> usize {
    let backup = world.replica(primary).backup_vm_id().unwrap();
    world.nodes.iter().position(|node| node.vm_id == *backup).unwrap()
}

fn spent(world: &World) -> u64 {
    let dispatches = world.dispatched.values().flatten();
    dispatches.map(|dispatched| dispatched.used_tokens.unwrap_or(dispatched.reserved_tokens)).sum()
}

#[test]
fn pair_confirms_an_admission_only_after_the_backup_has_it() {
    let mut world = world_with_pair(1, 2);
    let primary = primary_of(&world, 0);
    let backup = backup_of(&world, primary);
    world.cut_link(primary, backup, true);
    world.cut_log(primary, true);
    world.cut_log(backup, true);

    world.admit(primary, "k", 100);
    world.run_all(4);
    let spent_while_cut = spent(&world);
    world.repair();
    world.run_all(4);

    assert_eq!(spent_while_cut, 0);
    assert_eq!(spent(&world), 100);
}

#[test]
fn pair_fences_a_primary_that_was_paused_during_the_takeover() {
    let mut world = world_with_pair(1, 2);
    let paused = primary_of(&world, 0);
    let successor = backup_of(&world, paused);
    world.admit(paused, "before", 1_000);
    world.pause_during_rounds(paused, 6);
    let held = world.held_tokens(successor);
    world.admit(successor, "new", held);
    world.run_all(1);

    let stale_held = world.held_tokens(paused);
    world.admit(paused, "stale", stale_held);
    for _ in 0..6 {
        world.step(paused, false);
        for _ in 0..world.messages.len() {
            world.deliver(0, false);
        }
    }

    assert!(stale_held > 0);
    assert!(world.dispatched.contains_key("0/new"));
    assert!(!world.dispatched.contains_key("0/stale"));
    assert!(world.replica(successor).is_primary());
}

#[test]
fn pair_loses_no_token_and_no_key_when_its_primary_crashes() {
    let mut world = world_with_pair(1, 2);
    let primary = primary_of(&world, 0);
    world.admit(primary, "k", 500);
    world.run_all(4);

    world.crash(primary);
    world.run_all(8);
    let successor = primary_of(&world, 0);
    world.admit(successor, "k", 500);
    world.run_all(2);

    assert_ne!(successor, primary);
    assert_eq!(world.held_tokens(successor), PAID - 500);
    assert_eq!(world.dispatched["0/k"].len(), 1);
    assert_eq!(world.whole_ledger().share("dc0", BUDGET).stranded_tokens(), 0);
}

#[test]
fn pair_strands_at_most_what_was_drawn_when_both_holders_crash() {
    let mut world = World::new(1, 2);
    let paid = 4_000_000;
    world.top_up(paid, 0);
    world.run_all(8);
    let share = world.whole_ledger().share("dc0", BUDGET);

    world.crash(0);
    world.crash(1);
    world.run_all(8);

    let lost = world.whole_ledger().share("dc0", BUDGET);
    let primary = primary_of(&world, 0);
    assert!(share.drawn_tokens <= paid / 4);
    assert_eq!(lost.stranded_tokens(), share.drawn_tokens);
    assert!(world.held_tokens(primary) > 0);
    assert_eq!(lost.undrawn_tokens() + lost.drawn_tokens, paid);
}

#[test]
fn backup_that_restarted_refuses_a_copy_meant_for_its_previous_incarnation() {
    let mut world = world_with_pair(1, 2);
    let backup = backup_of(&world, primary_of(&world, 0));
    let delayed = world.sent_deltas.clone();
    world.crash(backup);

    for delta in delayed.clone() {
        world.apply_delta(backup, delta);
    }

    assert!(delayed.iter().any(|delta| delta.is_full && delta.to_incarnation.is_some()));
    assert_eq!(world.replica(backup).state_epoch(), None);
}

#[test]
fn transfer_is_credited_once_however_often_it_arrives() {
    let mut world = world_with_pair(2, 2);
    let sender = primary_of(&world, 0);
    let receiver = primary_of(&world, 1);
    let before = world.held_tokens(receiver);
    world.request_tokens(receiver, sender, 1_000_000);
    for _ in 0..40 {
        world.read_log(sender, usize::MAX);
        world.run_all(1);
        world.repeat_messages();
    }

    world.run_all(6);

    assert_eq!(world.held_tokens(sender), 0);
    assert_eq!(world.held_tokens(receiver) + world.held_tokens(sender), PAID);
    assert!(before < PAID);
    assert!(world.replica(sender).transfers().open_transfers().is_empty());
}

#[test]
fn transfer_below_the_lowest_open_number_is_not_credited_again() {
    let from = ShardLocation { data_centre_id: "dc0".into(), shard: 0 };
    let request = TransferRequest {
        to_data_centre_id: "dc1".into(),
        budget_id: BUDGET.into(),
        requested_tokens: 5,
        is_urgent: false,
    };
    let mut sender = TransferTable::new(1);
    let mut receiver = TransferTable::new(1);
    let first = sender.open(from.clone(), request.clone(), 5);
    let is_first_recorded = receiver.record_received(&first);
    sender.acknowledge(&first);
    let second = sender.open(from, request, 5);

    let is_second_recorded = receiver.record_received(&second);
    let is_first_recorded_again = receiver.record_received(&first);

    assert!(is_first_recorded && is_second_recorded);
    assert!(!is_first_recorded_again);
}

#[test]
fn checkpoint_takes_settled_tokens_off_what_a_lost_pair_strands() {
    let mut world = world_with_pair(1, 2);
    let primary = primary_of(&world, 0);
    world.admit(primary, "k", 500);
    world.run_all(4);
    world.settle(0, 600);
    world.run_all(4);
    world.checkpoint(primary);

    world.crash(0);
    world.crash(1);
    world.run_all(8);

    let lost = world.whole_ledger().share("dc0", BUDGET);
    assert_eq!(lost.lost_reported.settled_tokens, 300);
    assert_eq!(lost.stranded_tokens(), PAID - 300);
}
