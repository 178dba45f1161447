use std::time::Duration;

use sassafrashoist_core::gateway::crowding::Crowding;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn vm_that_turned_nobody_away_is_not_crowded() {
    assert!(!Crowding::default().is_crowded(NOW));
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
