use std::time::Duration;

use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::holder_role::HolderRole;
use sassafrashoist_core::gateway::token_holding::TokenHolding;
use sassafrashoist_core::gateway::token_prefetch::TokenPrefetch;

use super::allocator_vms::ledger_of;
use super::simulated_fleet::{
    ACCOUNT, AppendScenario, ProcessEnd, RECORD_INTERVAL, SimulatedFleet, config_with, holding_of,
};

const PAID_TOKENS: u64 = 2_000_000;
const REQUEST_TOKENS: u64 = 2_000;

/// Lets every VM serve one request in each interval for a time, while the log is connected. Returns
/// the number of refused requests.
fn serve(fleet: &mut SimulatedFleet, time: Duration) -> u32 {
    let mut refused = 0;
    for _ in 0..(time.as_millis() / RECORD_INTERVAL.as_millis()) {
        for vm in 0..fleet.vms.len() {
            if !fleet.begin_request(vm, REQUEST_TOKENS) {
                fleet.sync_with_log(vm, AppendScenario::Acknowledged);
                refused += u32::from(!fleet.begin_request(vm, REQUEST_TOKENS));
            }
            fleet.end_request(vm, 1_000);
            fleet.sync_with_log(vm, AppendScenario::Acknowledged);
        }
        fleet.advance_clock(RECORD_INTERVAL);
    }
    refused
}

#[test]
fn requests_are_served_while_the_log_is_connected() {
    let mut fleet = SimulatedFleet::new(7, PAID_TOKENS);

    let refused = serve(&mut fleet, Duration::from_secs(15));

    assert_eq!(refused, 0);
    assert_eq!(fleet.used_tokens, 7 * 50 * REQUEST_TOKENS);
}

#[test]
fn at_least_97_percent_can_be_spent_by_one_vm_of_seven() {
    let mut fleet = SimulatedFleet::new(7, PAID_TOKENS);
    serve(&mut fleet, Duration::from_secs(3));

    for _ in 0..5_000 {
        if !fleet.begin_request(0, REQUEST_TOKENS) {
            for vm in (0..7).rev() {
                fleet.sync_with_log(vm, AppendScenario::Acknowledged);
            }
            for vm in 1..7 {
                fleet.transfer(vm, 0, REQUEST_TOKENS, 0);
            }
            fleet.sync_with_log(0, AppendScenario::Acknowledged);
            fleet.begin_request(0, REQUEST_TOKENS);
        }
        fleet.end_request(0, 1_000);
        fleet.advance_clock(Duration::from_millis(10));
    }

    assert!(fleet.used_tokens >= PAID_TOKENS * 97 / 100, "{} used", fleet.used_tokens);
}

#[test]
fn held_tokens_last_while_the_log_is_disconnected_for_nine_seconds() {
    let mut fleet = SimulatedFleet::new(7, 20_000_000);
    serve(&mut fleet, Duration::from_secs(6));

    let mut refused = 0;
    for _ in 0..30 {
        for vm in 0..7 {
            refused += u32::from(!fleet.begin_request(vm, REQUEST_TOKENS));
            fleet.end_request(vm, 1_000);
            fleet.sync_with_log(vm, AppendScenario::LostWithoutResponse);
        }
        fleet.advance_clock(RECORD_INTERVAL);
    }

    assert_eq!(refused, 0);
}

#[test]
fn most_unspent_tokens_stay_usable_after_all_processes_end() {
    for end in [ProcessEnd::Killed, ProcessEnd::PowerLost] {
        let mut fleet = SimulatedFleet::new(7, PAID_TOKENS);
        serve(&mut fleet, Duration::from_secs(6));
        let unspent = PAID_TOKENS - fleet.used_tokens;

        fleet.restart(0, end, Duration::from_millis(1_400));
        (1..7).for_each(|vm| fleet.restart(vm, end, Duration::ZERO));
        (0..7).for_each(|vm| fleet.sync_with_log(vm, AppendScenario::Acknowledged));

        let usable = fleet.usable_tokens() as u64;
        assert!(usable * 10 >= unspent * 9, "{usable} of {unspent} after {end:?}");
    }
}

#[test]
fn a_spending_limit_expires_while_the_log_is_disconnected() {
    let mut fleet = SimulatedFleet::new(2, PAID_TOKENS);
    serve(&mut fleet, Duration::from_secs(6));
    let held = fleet.vms[0].holding.spendable_tokens(ACCOUNT, fleet.now + Duration::from_secs(60));

    let limited = fleet.vms[0].holding.spendable_tokens(ACCOUNT, fleet.now);
    fleet.advance_clock(fleet.vms[0].holding.time_until_unlimited(fleet.now));
    let unlimited = fleet.vms[0].holding.spendable_tokens(ACCOUNT, fleet.now);

    assert!(limited < held);
    assert_eq!(unlimited, held);
}

#[test]
fn every_holder_respects_a_reduced_amount() {
    let mut fleet = SimulatedFleet::new(3, PAID_TOKENS);
    serve(&mut fleet, Duration::from_secs(3));
    let used = fleet.used_tokens;
    let reduced = used + 30_000;

    fleet.config.accounts.as_mut().unwrap()[0].paid_tokens = Some(reduced);
    for _ in 0..20 {
        for vm in 0..3 {
            fleet.sync_with_log(vm, AppendScenario::Acknowledged);
            fleet.begin_request(vm, REQUEST_TOKENS);
            fleet.end_request(vm, 1_000);
        }
        fleet.advance_clock(RECORD_INTERVAL);
    }

    assert!(fleet.used_tokens <= reduced, "{} used of {reduced}", fleet.used_tokens);
}

// Tokens that other VMs had drawn were not frozen where they lay.
#[test]
fn vm_that_received_tokens_respects_a_reduced_amount() {
    let mut fleet = SimulatedFleet::new(2, PAID_TOKENS);
    fleet.sync_with_log(0, AppendScenario::Acknowledged);
    let later = fleet.now + Duration::from_secs(60);
    fleet.now = later;
    let drawn = fleet.drawn_tokens() as u64;
    fleet.transfer(0, 1, drawn, 0);

    fleet.config.accounts.as_mut().unwrap()[0].paid_tokens = Some(drawn / 2);
    fleet.sync_with_log(0, AppendScenario::Rejected);
    fleet.sync_with_log(1, AppendScenario::Rejected);

    let spendable = fleet.vms[1].holding.spendable_tokens(ACCOUNT, later);
    assert!(spendable <= drawn as i64 / 2, "{spendable} of {drawn}");
    assert!(spendable >= drawn as i64 / 2 - 2, "{spendable} of {drawn}");
}

#[test]
fn a_repeated_transfer_request_gets_the_first_response() {
    let mut fleet = SimulatedFleet::new(2, PAID_TOKENS);
    serve(&mut fleet, Duration::from_secs(3));
    let later = fleet.now + Duration::from_secs(60);
    let before = fleet.vms[0].holding.spendable_tokens(ACCOUNT, later);

    fleet.transfer(0, 1, 500, 2);

    assert_eq!(before - fleet.vms[0].holding.spendable_tokens(ACCOUNT, later), 500);
}

#[test]
fn tokens_of_accounts_without_requests_are_sent_to_other_vms() {
    let mut fleet = SimulatedFleet::new(1, PAID_TOKENS);
    let holding = &mut fleet.vms[0].holding;
    holding.receive_tokens_for_request(ACCOUNT, 8_000, fleet.now);

    let sent_at_once = holding.send_idle_tokens(fleet.now + Duration::from_millis(300));
    let sent_later = holding.send_idle_tokens(fleet.now + Duration::from_secs(3));

    assert_eq!(sent_at_once, []);
    assert_eq!(sent_later, [(ACCOUNT.to_owned(), 8_000)]);
    assert_eq!(holding.spendable_tokens(ACCOUNT, fleet.now + Duration::from_secs(3)), 0);
}

/// Returns the holding of a VM that does not draw, in a fleet of 86 VMs, with unused tokens.
fn client_holding(tokens: u64) -> TokenHolding {
    let mut holding = holding_of("vm-new", 1, ([10, 0, 0, 99], 7_000).into());
    holding.set_role(HolderRole::RequestsTokens, RECORD_INTERVAL);
    holding.receive_tokens(ACCOUNT, tokens);
    holding
}

/// Lets a VM serve ten requests a second of an account for five seconds; returns when it ends.
fn use_steadily(holding: &mut TokenHolding) -> Duration {
    let mut now = Duration::from_secs(100);
    for _ in 0..50 {
        now += Duration::from_millis(100);
        assert!(holding.try_reserve(ACCOUNT, REQUEST_TOKENS, now));
        holding.settle(ACCOUNT, REQUEST_TOKENS, REQUEST_TOKENS, now);
    }
    now
}

// The record that returned the tokens of a VM that drew before the fleet grew lost each race for the
// end of the ledger, and kept the tokens from being sent to others.
#[test]
fn record_of_a_client_vm_moves_no_tokens() {
    let mut holding = client_holding(700_000);
    let now = Duration::from_secs(100);

    let planned = holding.plan_record(
        &ledger_of(86),
        &config_with(PAID_TOKENS),
        now,
        ClockReading::default(),
    );
    let sent = holding.send_idle_tokens(now);

    assert!(!planned.moves_tokens(), "{:?}", planned.changes());
    assert_eq!(sent, [(ACCOUNT.to_owned(), 700_000)]);
}

// The spending limits of a record that a VM planned just after it had stopped drawing kept it from
// sending its tokens until they lapsed.
#[test]
fn record_of_a_vm_that_no_longer_draws_limits_nothing() {
    let mut holding = client_holding(700_000);
    holding.set_role(HolderRole::DrawsForItself, RECORD_INTERVAL);
    let now = Duration::from_secs(100);

    let planned = holding.plan_record(
        &ledger_of(86),
        &config_with(PAID_TOKENS),
        now,
        ClockReading::default(),
    );
    holding.commit(&planned);

    assert_eq!(holding.spendable_tokens(ACCOUNT, now), 700_000);
}

#[test]
fn client_vm_returns_what_was_drawn_beyond_what_was_paid_for() {
    let mut fleet = SimulatedFleet::new(1, PAID_TOKENS);
    fleet.sync_with_log(0, AppendScenario::Acknowledged);
    let (mut ledger, newest) = (ledger_of(86), fleet.newest_record(0));
    let drawn = newest.account(ACCOUNT).unwrap().net_drawn_tokens;
    ledger.apply(86, "vm-gone/1".to_owned(), newest);
    let mut holding = client_holding(700_000);

    let planned = holding.plan_record(
        &ledger,
        &config_with(drawn as u64 - 5_000),
        fleet.now,
        ClockReading::default(),
    );

    assert_eq!(planned.changes(), [(ACCOUNT.to_owned(), -5_000)]);
}

// A VM that went on to serve an account kept all that it had drawn of it before the fleet grew.
#[test]
fn tokens_that_a_client_vm_will_not_need_soon_are_sent_while_its_account_is_in_use() {
    let mut holding = client_holding(700_000);
    let now = use_steadily(&mut holding);

    let sent = holding.send_idle_tokens(now);

    let kept = holding.spendable_tokens(ACCOUNT, now);
    assert_eq!(sent, [(ACCOUNT.to_owned(), 600_000 - kept as u64)]);
    assert!((38_000..50_000).contains(&kept), "{kept} kept at 20,000 tokens a second");
    assert_eq!(holding.send_idle_tokens(now), []);
}

#[test]
fn prefetched_tokens_are_not_sent_back() {
    let mut holding = client_holding(100_000);
    let now = use_steadily(&mut holding);
    let mut prefetch = TokenPrefetch::default();
    (0..50).for_each(|_| prefetch.record_response_time(Duration::from_secs(1)));
    let (rate, typical) =
        (holding.use_tokens_per_s(ACCOUNT, now), holding.typical_request_tokens(ACCOUNT));

    let prefetched = prefetch.prefetch_tokens(rate, typical);
    holding.receive_tokens_for_request(ACCOUNT, prefetched, now);
    holding.receive_tokens_for_request(ACCOUNT, prefetched / 2, now);

    assert!(prefetched > 0);
    assert_eq!(holding.send_idle_tokens(now), []);
}

#[test]
fn tokens_that_arrive_in_parts_for_a_waiting_request_are_not_sent_back() {
    let mut holding = client_holding(0);
    let now = Duration::from_secs(100);

    holding.receive_tokens_for_request(ACCOUNT, 5_000, now);
    holding.receive_tokens_for_request(ACCOUNT, 3_000, now + Duration::from_millis(120));
    let sent = holding.send_idle_tokens(now + Duration::from_millis(240));

    assert_eq!(sent, []);
}

/// More transfers than reach an allocator while another VM repeats a message to it.
const OTHER_TRANSFERS: u64 = 600;

// Requests that get nothing took the place of one that got tokens, whose response was lost.
#[test]
fn repeated_request_gets_the_first_response_after_many_that_got_nothing() {
    let mut holding = holding_of("vm-1", 1, ([10, 0, 0, 1], 7_000).into());
    holding.receive_tokens(ACCOUNT, 10_000);
    let now = Duration::from_secs(100);
    let repeated = ("vm-2/1".to_owned(), 1);
    let given = holding.send_tokens(repeated.clone(), ACCOUNT, 1_000, 1_000, now);
    for count in 0..OTHER_TRANSFERS {
        holding.send_tokens(("vm-3/1".to_owned(), count), "without-tokens", 1_000, 1_000, now);
    }

    let left = holding.spendable_tokens(ACCOUNT, now);
    let given_again = holding.send_tokens(repeated, ACCOUNT, 1_000, 1_000, now);

    assert_eq!((given_again, holding.spendable_tokens(ACCOUNT, now)), (given, left));
}

// A hand-over whose response was lost was taken in twice.
#[test]
fn repeated_hand_over_is_taken_in_once_after_many_others() {
    let mut holding = holding_of("vm-1", 1, ([10, 0, 0, 1], 7_000).into());
    let repeated = ("vm-2/1".to_owned(), 1);
    let now = Duration::from_secs(100);
    let mut is_taken_in = holding.receive_transfer(&repeated, &[(ACCOUNT.to_owned(), 1_000)], now);
    for count in 0..OTHER_TRANSFERS {
        is_taken_in &= holding.receive_transfer(&("vm-3/1".to_owned(), count), &[], now);
    }

    is_taken_in &= holding.receive_transfer(&repeated, &[(ACCOUNT.to_owned(), 1_000)], now);

    assert!(is_taken_in);
    assert_eq!(holding.spendable_tokens(ACCOUNT, now), 1_000);
}

#[test]
fn transfers_beyond_the_memory_are_rejected_until_it_has_room() {
    let mut holding = holding_of("vm-1", 1, ([10, 0, 0, 1], 7_000).into());
    let now = Duration::from_secs(100);
    let tokens = [(ACCOUNT.to_owned(), 1)];

    let taken_in = (0..20_000)
        .filter(|count| holding.receive_transfer(&("vm-3/1".to_owned(), *count), &tokens, now))
        .count();
    let later = now + Duration::from_secs(10);
    let is_taken_in_later = holding.receive_transfer(&("vm-4/1".to_owned(), 0), &tokens, later);

    assert_eq!((taken_in, is_taken_in_later), (16_384, true));
    assert_eq!(holding.spendable_tokens(ACCOUNT, later), 16_385);
}
