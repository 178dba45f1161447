use std::time::Duration;

use super::token_world::{ACCOUNT, AppendFate, EndOfRun, RECORD_INTERVAL, TokenWorld};

const PAID_TOKENS: u64 = 2_000_000;
const REQUEST_TOKENS: u64 = 2_000;

/// Lets every VM serve a request each interval for a time, in touch with the log.
fn serve(world: &mut TokenWorld, time: Duration) -> u32 {
    let mut refused = 0;
    for _ in 0..(time.as_millis() / RECORD_INTERVAL.as_millis()) {
        for vm in 0..world.vms.len() {
            if !world.begin_request(vm, REQUEST_TOKENS) {
                world.look(vm, AppendFate::Acknowledged);
                refused += u32::from(!world.begin_request(vm, REQUEST_TOKENS));
            }
            world.end_request(vm, 1_000);
            world.look(vm, AppendFate::Acknowledged);
        }
        world.pass(RECORD_INTERVAL);
    }
    refused
}

#[test]
fn requests_are_served_while_the_log_is_in_touch() {
    let mut world = TokenWorld::new(7, PAID_TOKENS);

    let refused = serve(&mut world, Duration::from_secs(15));

    assert_eq!(refused, 0);
    assert_eq!(world.used_tokens, 7 * 50 * REQUEST_TOKENS);
}

#[test]
fn at_least_97_percent_can_be_spent_by_one_vm_of_seven() {
    let mut world = TokenWorld::new(7, PAID_TOKENS);
    serve(&mut world, Duration::from_secs(3));

    for _ in 0..5_000 {
        if !world.begin_request(0, REQUEST_TOKENS) {
            for vm in (0..7).rev() {
                world.look(vm, AppendFate::Acknowledged);
            }
            for vm in 1..7 {
                world.transfer(vm, 0, REQUEST_TOKENS, 0);
            }
            world.look(0, AppendFate::Acknowledged);
            world.begin_request(0, REQUEST_TOKENS);
        }
        world.end_request(0, 1_000);
        world.pass(Duration::from_millis(10));
    }

    assert!(world.used_tokens >= PAID_TOKENS * 97 / 100, "{} used", world.used_tokens);
}

#[test]
fn a_cut_of_nine_seconds_is_lived_through_on_what_is_held() {
    let mut world = TokenWorld::new(7, 20_000_000);
    serve(&mut world, Duration::from_secs(6));

    let mut refused = 0;
    for _ in 0..30 {
        for vm in 0..7 {
            refused += u32::from(!world.begin_request(vm, REQUEST_TOKENS));
            world.end_request(vm, 1_000);
            world.look(vm, AppendFate::NeverDoneUnanswered);
        }
        world.pass(RECORD_INTERVAL);
    }

    assert_eq!(refused, 0);
}

#[test]
fn most_of_what_is_left_survives_the_end_of_all_processes() {
    for how in [EndOfRun::Killed, EndOfRun::PowerLost] {
        let mut world = TokenWorld::new(7, PAID_TOKENS);
        serve(&mut world, Duration::from_secs(6));
        let left = PAID_TOKENS - world.used_tokens;

        world.restart(0, how, Duration::from_millis(1_400));
        (1..7).for_each(|vm| world.restart(vm, how, Duration::ZERO));
        (0..7).for_each(|vm| world.look(vm, AppendFate::Acknowledged));

        let usable = world.usable_tokens() as u64;
        assert!(usable * 10 >= left * 9, "{usable} of {left} after {how:?}");
    }
}

#[test]
fn a_mark_binds_until_the_log_has_been_out_of_touch() {
    let mut world = TokenWorld::new(2, PAID_TOKENS);
    serve(&mut world, Duration::from_secs(6));
    let held = world.vms[0].holding.available_tokens(ACCOUNT, world.now + Duration::from_secs(60));

    let bound = world.vms[0].holding.available_tokens(ACCOUNT, world.now);
    world.pass(world.vms[0].holding.time_to_unmarked(world.now));
    let unbound = world.vms[0].holding.available_tokens(ACCOUNT, world.now);

    assert!(bound < held);
    assert_eq!(unbound, held);
}

#[test]
fn a_reduced_amount_is_kept_to_by_every_holder() {
    let mut world = TokenWorld::new(3, PAID_TOKENS);
    serve(&mut world, Duration::from_secs(3));
    let used = world.used_tokens;
    let reduced = used + 30_000;

    world.config.accounts.as_mut().unwrap()[0].paid_tokens = Some(reduced);
    for _ in 0..20 {
        for vm in 0..3 {
            world.look(vm, AppendFate::Acknowledged);
            world.begin_request(vm, REQUEST_TOKENS);
            world.end_request(vm, 1_000);
        }
        world.pass(RECORD_INTERVAL);
    }

    assert!(world.used_tokens <= reduced, "{} used of {reduced}", world.used_tokens);
}

#[test]
fn a_repeated_question_gets_the_first_answer() {
    let mut world = TokenWorld::new(2, PAID_TOKENS);
    serve(&mut world, Duration::from_secs(3));
    let later = world.now + Duration::from_secs(60);
    let before = world.vms[0].holding.available_tokens(ACCOUNT, later);

    world.transfer(0, 1, 500, 2);

    assert_eq!(before - world.vms[0].holding.available_tokens(ACCOUNT, later), 500);
}

#[test]
fn tokens_of_accounts_without_requests_are_given_away() {
    let mut world = TokenWorld::new(1, PAID_TOKENS);
    let holding = &mut world.vms[0].holding;
    holding.receive_for_request(ACCOUNT, 8_000, world.now);

    let given_at_once = holding.give_idle(world.now + Duration::from_millis(300));
    let given_later = holding.give_idle(world.now + Duration::from_secs(3));

    assert_eq!(given_at_once, []);
    assert_eq!(given_later, [(ACCOUNT.to_owned(), 8_000)]);
    assert_eq!(holding.available_tokens(ACCOUNT, world.now + Duration::from_secs(3)), 0);
}
