use sassafrashoist_core::gateway::attempt_failure::AttemptFailure;
use sassafrashoist_core::gateway::caller_departure::LastSign;

const UNREACHED: LastSign = LastSign::Nothing { is_path_lost: true };
const SILENT: LastSign = LastSign::Nothing { is_path_lost: false };

// Guards against review/1: more tokens were used than paid for.
#[test]
fn a_stream_may_have_run_if_a_part_came_or_the_server_cannot_be_heard() {
    for sign in [LastSign::Body, LastSign::Failure, UNREACHED] {
        assert!(sign.may_have_run(true), "{sign:?}");
    }
}

// Tokens that nobody used must not be taken from the account.
#[test]
fn a_stream_has_not_run_if_its_server_ended_properly_or_sent_nothing() {
    for sign in [LastSign::ProperEnd, SILENT] {
        assert!(!sign.may_have_run(true), "{sign:?}");
    }
}

#[test]
fn a_request_without_events_may_have_run_whatever_came() {
    for sign in [LastSign::Body, LastSign::ProperEnd, LastSign::Failure, SILENT, UNREACHED] {
        assert!(sign.may_have_run(false), "{sign:?}");
    }
}

#[test]
fn only_a_proper_close_is_a_proper_end() {
    let failures = [AttemptFailure::Closed, AttemptFailure::Lost, AttemptFailure::Invalid];

    let signs = failures.map(LastSign::of_failure);

    assert_eq!(signs, [LastSign::ProperEnd, LastSign::Failure, LastSign::Failure]);
}
