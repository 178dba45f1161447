use std::time::Duration;

use sassafrashoist_core::gateway::incarnation_check::{IncarnationCheck, ListedIncarnation};

const IN_STEP: Option<Duration> = Some(Duration::from_millis(2_600));
const OUT_OF_STEP: Option<Duration> = Some(Duration::from_millis(3_100));

/// Begins a check by a VM with three others and records answers of them.
fn check(list_age: Option<Duration>, views: &[ListedIncarnation]) -> IncarnationCheck {
    let mut check = IncarnationCheck::begin(list_age, 3).unwrap();
    for view in views {
        check.record(*view);
    }
    check
}

#[test]
fn a_vm_that_has_just_read_the_list_asks_no_other() {
    let ages = [Some(Duration::from_millis(600)), IN_STEP, OUT_OF_STEP, None];

    let is_checked = ages.map(|age| IncarnationCheck::begin(age, 3).is_some());

    assert_eq!(is_checked, [false, true, true, true]);
}

// Its own list cannot show a VM out of step that a server has restarted.
#[test]
fn a_server_that_another_vm_lists_otherwise_is_not_confirmed() {
    use ListedIncarnation::{Other, Same};

    for list_age in [IN_STEP, OUT_OF_STEP, None] {
        assert!(!check(list_age, &[Other]).is_confirmed());
        assert!(!check(list_age, &[Same, Other]).is_confirmed());
        assert!(check(list_age, &[Same]).is_confirmed());
    }
}

#[test]
fn a_vm_out_of_step_that_reaches_no_other_confirms_no_server() {
    assert!(check(IN_STEP, &[]).is_confirmed());
    assert!(!check(OUT_OF_STEP, &[]).is_confirmed());
    assert!(!check(None, &[]).is_confirmed());
}

#[test]
fn a_vm_without_others_goes_by_its_own_list() {
    let check = IncarnationCheck::begin(OUT_OF_STEP, 0).unwrap();

    assert!(check.is_confirmed());
}

// All VMs of a data centre may be out of step together.
#[test]
fn a_vm_out_of_step_waits_for_all_answers_unless_one_differs() {
    use ListedIncarnation::{Other, Same};
    let mut in_step = check(IN_STEP, &[]);
    let mut out_of_step = check(OUT_OF_STEP, &[]);

    let is_enough = [in_step.record(Same), out_of_step.record(Same), out_of_step.record(Other)];

    assert_eq!(is_enough, [true, false, true]);
}
