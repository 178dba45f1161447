use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::config_contact::ConfigContact;
use sassafrashoist_core::gateway::config_times::ConfigTimes;

const APPLY_TIME: Duration = Duration::from_secs(4);
const CONTACT_TIME: Duration = Duration::from_secs(5);
const READ_INTERVAL: Duration = Duration::from_secs(1);
const NOW: Uptime = Duration::from_secs(100);

/// A VM that has heard something each second for a long time, last now.
fn contact() -> ConfigContact {
    let mut contact = ConfigContact::new(&ConfigTimes::new(APPLY_TIME), CONTACT_TIME);
    for second in (0..20).rev() {
        contact.record_heard(None, NOW - READ_INTERVAL * second);
    }
    contact
}

#[test]
fn vm_that_has_heard_nothing_is_not_in_contact() {
    let contact = ConfigContact::new(&ConfigTimes::new(APPLY_TIME), CONTACT_TIME);

    assert!(!contact.is_settled(None, NOW));
}

#[test]
fn vm_that_hears_something_each_second_is_in_contact() {
    assert!(contact().is_settled(None, NOW + READ_INTERVAL));
}

// Otherwise an outage of the log service would become one of the fleet. The last knowledge may be a
// second older than the outage.
#[test]
fn vm_is_cut_off_before_its_configuration_is_too_old() {
    let begins_at = NOW;
    let known_at = NOW - READ_INTERVAL;

    assert!(!contact().is_settled(None, known_at + APPLY_TIME));
    assert!(!contact().is_settled(None, begins_at + APPLY_TIME));
}

// It has heard nothing because it did not listen.
#[test]
fn vm_that_stood_still_is_in_contact() {
    let resumed_at = NOW + Duration::from_secs(8);

    assert!(contact().is_settled(Some(resumed_at), resumed_at));
    assert!(!contact().is_settled(Some(resumed_at), resumed_at + APPLY_TIME));
}

// All VMs read at once after an outage, and serve what they can until then; the platform counts them as
// in contact only later.
#[test]
fn vm_is_left_time_to_read_after_an_outage_and_no_more_than_the_platform_allows() {
    let mut contact = contact();
    let healed_at = NOW + Duration::from_secs(8);
    for second in 0..6 {
        contact.record_heard(None, healed_at + READ_INTERVAL * second);
    }

    assert!(!contact.is_settled(None, healed_at + Duration::from_secs(1)));
    assert!(contact.is_settled(None, healed_at + CONTACT_TIME / 2));
}
