use std::time::Duration;

use sassafrashoist_core::gateway::config_age::ConfigAge;

const NOW: Duration = Duration::from_secs(100);
const READ_WAIT: Duration = Duration::from_secs(1);

fn age_of(version: u64) -> ConfigAge {
    let mut age = ConfigAge::default();
    age.record_active(version);
    age.record_confirmed(NOW);
    age
}

#[test]
fn configuration_that_was_never_confirmed_is_doubtful() {
    let mut age = ConfigAge::default();
    age.record_active(11);

    assert!(age.is_doubtful(NOW));
    assert_eq!(age.unconfirmed_time(NOW), None);
}

// Reads that find nothing new confirm the configuration once a second.
#[test]
fn configuration_is_not_doubtful_between_two_reads_that_find_nothing_new() {
    let age = age_of(11);

    assert!(!age.is_doubtful(NOW + READ_WAIT + Duration::from_millis(400)));
}

#[test]
fn configuration_is_doubtful_while_reads_fail_and_until_the_next_confirmation() {
    let mut age = age_of(11);
    let later = NOW + 2 * READ_WAIT;
    assert!(age.is_doubtful(later));

    age.record_confirmed(later);

    assert!(!age.is_doubtful(later));
}

#[test]
fn configuration_is_doubtful_while_another_vm_has_a_newer_one() {
    let mut age = age_of(11);
    age.record_heard(15, NOW);
    age.record_heard(13, NOW);
    assert_eq!((age.is_doubtful(NOW), age.newer_version()), (true, Some(15)));

    age.record_active(15);

    assert_eq!((age.is_doubtful(NOW), age.newer_version()), (false, None));
}

#[test]
fn version_of_a_vm_that_is_behind_raises_no_doubt() {
    let mut age = age_of(11);

    age.record_heard(9, NOW);
    age.record_heard(11, NOW);

    assert!(!age.is_doubtful(NOW));
}

// A version that does not exist would have kept the VM in doubt for good.
#[test]
fn version_that_a_later_read_does_not_find_raises_no_doubt() {
    let mut age = age_of(11);
    age.record_heard(99, NOW + READ_WAIT);

    age.record_confirmed(NOW + READ_WAIT / 2);
    assert!(age.is_doubtful(NOW + READ_WAIT));
    age.record_confirmed(NOW + 2 * READ_WAIT);

    assert!(!age.is_doubtful(NOW + 2 * READ_WAIT));
}

#[test]
fn late_confirmation_of_an_earlier_time_does_not_replace_a_newer_one() {
    let mut age = age_of(11);

    age.record_confirmed(NOW - READ_WAIT);

    assert_eq!(age.unconfirmed_time(NOW), Some(Duration::ZERO));
}

// A decision about a stream must not rest on a configuration that was replaced before.
#[test]
fn configuration_was_the_newest_one_only_up_to_its_confirmation_and_if_no_vm_has_a_newer_one() {
    let mut age = age_of(11);
    let before = [NOW, NOW + READ_WAIT].map(|at| age.was_newest_at(at));

    age.record_heard(13, NOW + READ_WAIT);

    assert_eq!((before, age.was_newest_at(NOW)), ([true, false], false));
}

const APPLY_TIME: Duration = Duration::from_secs(4);

// VMs served by keys that had been removed longer ago than a change may take.
#[test]
fn configuration_is_too_old_when_a_newer_one_had_to_be_in_force() {
    let age = age_of(11);

    assert!(!age.is_too_old(APPLY_TIME, NOW + APPLY_TIME));
    assert!(age.is_too_old(APPLY_TIME, NOW + APPLY_TIME + Duration::from_millis(1)));
}

// No VM could ever serve again after such a record.
#[test]
fn record_that_cannot_be_decoded_does_not_make_the_one_before_too_old() {
    let mut age = age_of(11);
    let later = NOW + 2 * APPLY_TIME;

    age.record_checked(later);

    assert!(!age.is_too_old(APPLY_TIME, later));
    assert!(age.is_doubtful(later));
}

#[test]
fn time_since_a_newer_version_was_heard_of_is_known() {
    let mut age = age_of(11);
    let before = age.heard_time(NOW);

    age.record_heard(15, NOW);

    assert_eq!((before, age.heard_time(NOW + READ_WAIT)), (None, Some(READ_WAIT)));
}
