use std::time::Duration;

use sassafrashoist_core::gateway::crowding::Crowding;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn vm_that_turned_nobody_away_is_not_crowded() {
    assert!(!Crowding::default().is_crowded(NOW));
}

// Everything waits on such a VM, but timers of one that stood still once were late only then.
#[test]
fn vm_is_crowded_when_its_timers_are_late_again_and_again() {
    let (late, in_time) = (Duration::from_millis(80), Duration::from_millis(20));
    let mut crowding = Crowding::default();
    let mut record = |lateness: &[Duration]| {
        lateness.iter().filter(|lateness| crowding.record_timer(**lateness, NOW)).count()
    };

    let once = record(&[Duration::from_secs(2), in_time]);
    let few = record(&[late, late, late, late, in_time]);
    let many = record(&[late; 8]);

    assert_eq!((once, few, many), (0, 0, 1));
    assert!(crowding.is_crowded(NOW));
}

// The load balancer asks twice, a second apart, before it selects another VM.
#[test]
fn vm_is_crowded_until_the_load_balancer_has_noticed() {
    let mut crowding = Crowding::default();

    let is_first = crowding.record_turned_away(NOW);
    let is_again = crowding.record_turned_away(NOW + Duration::from_secs(1));

    assert!(is_first && !is_again);
    assert!(crowding.is_crowded(NOW + Duration::from_secs(3)));
    assert!(!crowding.is_crowded(NOW + Duration::from_secs(5)));
}

// The callers of one of two VMs crowd the other one.
#[test]
fn crowded_vm_with_few_neighbours_keeps_its_callers() {
    let mut crowding = Crowding::default();
    crowding.record_turned_away(NOW);

    assert!(!crowding.sends_callers_away(2, NOW));
    assert!(crowding.sends_callers_away(3, NOW));
}
