//! Tests of what failed attempts show about backend servers.

use sassafrashoist_core::gateway::attempt_failure::AttemptFailure;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;

/// Returns the verdicts over a connection of this VM, one whose path is lost, and one through another
/// VM.
fn verdicts(failure: AttemptFailure) -> [AttemptVerdict; 3] {
    [(false, false), (false, true), (true, true)]
        .map(|(is_relayed, is_path_lost)| failure.verdict(is_relayed, is_path_lost))
}

#[test]
fn invalid_responses_are_failures_of_the_server_over_any_path() {
    let verdicts = verdicts(AttemptFailure::Invalid);

    assert_eq!(verdicts, [AttemptVerdict::Failed; 3]);
}

#[test]
fn closes_through_another_vm_are_failures_of_the_server() {
    let verdicts = verdicts(AttemptFailure::Closed);

    let expected = [AttemptVerdict::Failed, AttemptVerdict::Neutral, AttemptVerdict::Failed];
    assert_eq!(verdicts, expected);
}

#[test]
fn resets_and_silence_show_nothing_about_the_server_without_an_own_path() {
    let verdicts = verdicts(AttemptFailure::Lost);

    let expected = [AttemptVerdict::Failed, AttemptVerdict::Neutral, AttemptVerdict::Neutral];
    assert_eq!(verdicts, expected);
}

#[test]
fn early_end_of_a_whole_body_is_invalid() {
    let ends = [true, false].map(AttemptFailure::of_early_end);

    assert_eq!(ends, [AttemptFailure::Invalid, AttemptFailure::Closed]);
}
