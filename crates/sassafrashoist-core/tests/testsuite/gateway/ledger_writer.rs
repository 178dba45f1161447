use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::ledger_writer::{AppendOutcome, LedgerWriter};
use sassafrashoist_core::gateway::token_holding::TokenHolding;
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

use super::simulated_fleet::{ACCOUNT, RECORD_INTERVAL, config_with, holding_of};

const NOW: Duration = Duration::from_secs(50);
const PAID_TOKENS: u64 = 700_000;

fn holding() -> TokenHolding {
    holding_of("vm-1", 1, SocketAddr::from(([10, 0, 0, 1], 7_000)))
}

/// Plans a first draw and starts its append.
fn begin_draw(holding: &mut TokenHolding, ledger: &TokenLedger) -> LedgerWriter {
    let writer = begin_first(holding, ledger, PAID_TOKENS);
    assert!(writer.pending().unwrap().planned.moves_tokens());
    writer
}

/// Starts the append of a record that moves no tokens.
fn begin_unchanged(holding: &mut TokenHolding, ledger: &TokenLedger) -> LedgerWriter {
    let writer = begin_first(holding, ledger, 0);
    assert!(!writer.pending().unwrap().planned.moves_tokens());
    writer
}

/// Starts the append of a record that moves no tokens, whose tries end like this.
fn unchanged_after(ledger: &TokenLedger, outcomes: &[AppendOutcome]) -> LedgerWriter {
    let mut holding = holding();
    let mut writer = begin_unchanged(&mut holding, ledger);
    for outcome in outcomes {
        writer.record_outcome(*outcome, &mut holding);
    }
    writer
}

fn begin_first(holding: &mut TokenHolding, ledger: &TokenLedger, paid_tokens: u64) -> LedgerWriter {
    let config = config_with(paid_tokens);
    let planned = holding.plan_record(ledger, &config, NOW, ClockReading::default());
    let mut writer = LedgerWriter::default();
    writer.begin(planned, ledger.end_offset());
    writer
}

fn after_limits_expired() -> Duration {
    NOW + Duration::from_secs(60)
}

#[test]
fn a_draw_counts_once_it_is_acknowledged() {
    let (mut holding, ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);

    let before = holding.spendable_tokens(ACCOUNT, after_limits_expired());
    let done = writer.record_outcome(AppendOutcome::Appended, &mut holding);

    assert_eq!(before, 0);
    assert!(done.is_some());
    assert!(holding.spendable_tokens(ACCOUNT, after_limits_expired()) > 0);
}

#[test]
fn a_rejection_after_a_lost_response_leaves_the_append_in_doubt() {
    let (mut holding, ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);

    writer.record_outcome(AppendOutcome::Unknown, &mut holding);
    writer.record_outcome(AppendOutcome::NotAppended, &mut holding);

    assert!(writer.pending().is_some());
}

#[test]
fn a_rejection_of_the_first_try_ends_the_append() {
    let (mut holding, ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);

    writer.record_outcome(AppendOutcome::NotAppended, &mut holding);

    assert!(writer.pending().is_none());
    assert_eq!(holding.spendable_tokens(ACCOUNT, after_limits_expired()), 0);
}

#[test]
fn an_append_in_doubt_is_committed_if_the_ledger_shows_its_record() {
    let (mut holding, mut ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);
    let record = writer.pending().unwrap().planned.record.clone();
    writer.record_outcome(AppendOutcome::Unknown, &mut holding);

    ledger.apply(0, holding.holder_id().clone(), record);
    ledger.advance_end_offset(1);
    writer.resolve(&ledger, &mut holding);

    assert!(writer.pending().is_none());
    assert!(holding.spendable_tokens(ACCOUNT, after_limits_expired()) > 0);
}

#[test]
fn an_append_in_doubt_is_abandoned_once_the_log_has_grown_past_it() {
    let (mut holding, mut ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);
    writer.record_outcome(AppendOutcome::Unknown, &mut holding);

    ledger.advance_end_offset(1);
    writer.resolve(&ledger, &mut holding);

    assert!(writer.pending().is_none());
    assert_eq!(holding.spendable_tokens(ACCOUNT, after_limits_expired()), 0);
}

#[test]
fn limits_are_active_from_the_newest_record_that_may_be_in_the_log() {
    let (mut holding, ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);

    writer.record_outcome(AppendOutcome::Unknown, &mut holding);

    assert!(holding.time_until_unlimited(NOW) > 2 * RECORD_INTERVAL);
    assert!(holding.time_until_unlimited(after_limits_expired()).is_zero());
}

#[test]
fn nothing_is_drawn_while_a_record_of_the_ledger_cannot_be_read() {
    let (mut holding, mut ledger) = (holding(), TokenLedger::default());
    ledger.record_unreadable("vm-2/7".to_owned());

    let planned =
        holding.plan_record(&ledger, &config_with(PAID_TOKENS), NOW, ClockReading::default());

    assert!(!planned.moves_tokens());
}

// A record that moves no tokens was planned anew after each append of another VM.
#[test]
fn rejected_append_that_moves_no_tokens_goes_to_the_new_end() {
    let mut writer = unchanged_after(&TokenLedger::default(), &[AppendOutcome::EndMoved]);

    let is_moved = writer.retarget(7);

    assert!(is_moved);
    assert_eq!(writer.pending().unwrap().expected_end_offset, 7);
}

// The returns of VMs that held too much lost each race to records that move no tokens.
#[test]
fn rejected_append_that_returns_tokens_goes_to_the_new_end() {
    let mut holding = holding();
    holding.receive_tokens(ACCOUNT, PAID_TOKENS);
    let mut writer = begin_first(&mut holding, &TokenLedger::default(), PAID_TOKENS);
    writer.record_outcome(AppendOutcome::EndMoved, &mut holding);

    let is_moved = writer.retarget(7);

    assert!(writer.pending().unwrap().planned.changes().iter().all(|(_, change)| *change < 0));
    assert!(writer.pending().unwrap().planned.moves_tokens());
    assert!(is_moved);
}

#[test]
fn append_in_doubt_is_not_moved() {
    let outcomes = [AppendOutcome::Unknown, AppendOutcome::EndMoved];
    let mut writer = unchanged_after(&TokenLedger::default(), &outcomes);

    let is_moved = writer.retarget(7);

    assert!(!is_moved);
}

#[test]
fn draw_is_not_moved_past_records_that_were_not_read() {
    let (mut holding, ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);
    writer.record_outcome(AppendOutcome::EndMoved, &mut holding);

    let is_moved = writer.retarget(7);

    assert!(!is_moved);
}

#[test]
fn append_is_not_moved_to_an_end_that_went_back() {
    let mut ledger = TokenLedger::default();
    ledger.advance_end_offset(9);
    let mut writer = unchanged_after(&ledger, &[AppendOutcome::EndMoved]);

    let is_moved = writer.retarget(7);

    assert!(!is_moved);
}

/// Applies a record of another VM that drew tokens, at the end of the ledger.
fn append_draw_of_another_vm(ledger: &mut TokenLedger, drawn_tokens: u64) {
    let mut other = holding_of("vm-2", 1, SocketAddr::from(([10, 0, 0, 2], 7_000)));
    let config = config_with(PAID_TOKENS);
    let planned = other.plan_record(&TokenLedger::default(), &config, NOW, ClockReading::default());
    let mut record = planned.record;
    record.accounts[0].net_drawn_tokens = drawn_tokens as i64;
    let offset = ledger.end_offset();
    ledger.apply(offset, "vm-2/1".to_owned(), record);
    ledger.advance_end_offset(offset + 1);
}

// A VM that needs long to plan its record lost each race for the end of the ledger, and drew no tokens.
#[test]
fn rejected_draw_moves_to_the_new_end_of_the_ledger() {
    let (mut holding, mut ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);
    writer.record_outcome(AppendOutcome::EndMoved, &mut holding);
    append_draw_of_another_vm(&mut ledger, 1_000);

    let config = config_with(PAID_TOKENS);
    let is_moved = writer.rebase(&ledger, &config, holding.holder_id(), NOW);
    writer.resolve(&ledger, &mut holding);

    assert!(is_moved);
    assert_eq!(writer.pending().unwrap().expected_end_offset, ledger.end_offset());
}

#[test]
fn rejected_draw_is_planned_anew_if_another_vm_drew_its_tokens() {
    let (mut holding, mut ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);
    writer.record_outcome(AppendOutcome::EndMoved, &mut holding);
    append_draw_of_another_vm(&mut ledger, PAID_TOKENS - 1);

    let config = config_with(PAID_TOKENS);
    let is_moved = writer.rebase(&ledger, &config, holding.holder_id(), NOW);
    writer.resolve(&ledger, &mut holding);

    assert!(!is_moved);
    assert!(writer.pending().is_none());
}

#[test]
fn draw_in_doubt_does_not_move_to_another_offset() {
    let (mut holding, mut ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);
    writer.record_outcome(AppendOutcome::Unknown, &mut holding);
    append_draw_of_another_vm(&mut ledger, 1_000);

    let config = config_with(PAID_TOKENS);

    assert!(!writer.rebase(&ledger, &config, holding.holder_id(), NOW));
}

#[test]
fn draw_that_is_in_the_ledger_does_not_move() {
    let (mut holding, mut ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);
    let appended = writer.pending().unwrap().planned.record.clone();
    ledger.apply(0, holding.holder_id().clone(), appended);
    ledger.advance_end_offset(1);

    let config = config_with(PAID_TOKENS);

    assert!(!writer.rebase(&ledger, &config, holding.holder_id(), NOW));
}

#[test]
fn draw_with_an_old_plan_is_planned_anew() {
    let (mut holding, mut ledger) = (holding(), TokenLedger::default());
    let mut writer = begin_draw(&mut holding, &ledger);
    writer.record_outcome(AppendOutcome::EndMoved, &mut holding);
    append_draw_of_another_vm(&mut ledger, 1_000);

    let config = config_with(PAID_TOKENS);
    let later = NOW + Duration::from_secs(1);

    assert!(!writer.rebase(&ledger, &config, holding.holder_id(), later));
}
