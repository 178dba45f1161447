use std::time::Duration;

use sassafrashoist_core::routing::server_limit::{LimitReport, LimitStatement, ServerLimit};

const fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn limit_of_two() -> ServerLimit {
    let mut limit = ServerLimit::default();
    limit.record(LimitStatement::Named(2.0), at(100), at(200));
    limit
}

#[test]
fn a_limit_holds_until_a_newer_response_names_none() {
    let mut limit = limit_of_two();

    let is_changed_by_overlapping = limit.record(LimitStatement::NotNamed, at(150), at(300));
    let per_s_after_overlapping = limit.per_s();
    let is_changed_by_newer = limit.record(LimitStatement::NotNamed, at(250), at(300));

    assert!(!is_changed_by_overlapping && is_changed_by_newer);
    assert_eq!((per_s_after_overlapping, limit.per_s()), (Some(2.0), None));
}

#[test]
fn of_two_responses_of_unknown_order_the_lower_limit_holds() {
    let mut limit = limit_of_two();

    limit.record(LimitStatement::Named(5.0), at(150), at(300));
    let after_higher = limit.per_s();
    limit.record(LimitStatement::Named(1.0), at(150), at(300));
    let after_lower = limit.per_s();
    limit.record(LimitStatement::Named(5.0), at(350), at(400));

    assert_eq!((after_higher, after_lower, limit.per_s()), (Some(2.0), Some(1.0), Some(5.0)));
}

#[test]
fn a_response_from_before_the_limit_ended_does_not_name_it_again() {
    let mut limit = limit_of_two();
    limit.record(LimitStatement::NotNamed, at(400), at(500));

    let is_changed = limit.record(LimitStatement::Named(2.0), at(250), at(300));

    assert!(!is_changed);
    assert_eq!(limit.per_s(), None);
}

#[test]
fn a_malformed_limit_changes_nothing() {
    let mut limit = limit_of_two();

    let is_changed = limit.record(LimitStatement::Malformed, at(300), at(400));

    assert!(!is_changed);
    assert_eq!(limit.per_s(), Some(2.0));
}

// A limit that equals nothing, not even itself, would count as changed and be sent on without end.
#[test]
fn report_of_a_limit_that_is_no_number_changes_nothing() {
    for per_s in [f64::NAN, f64::INFINITY, -1.0] {
        let mut limit = limit_of_two();
        let report = LimitReport {
            per_s: Some(per_s),
            sent_ago: Duration::ZERO,
            received_ago: Duration::ZERO,
        };

        let is_changed = limit.record_report(&report, Duration::ZERO, at(1_000));

        assert_eq!((is_changed, limit.per_s()), (false, Some(2.0)), "{per_s}");
    }
}
