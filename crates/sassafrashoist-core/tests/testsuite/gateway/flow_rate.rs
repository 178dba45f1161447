use std::time::Duration;

use sassafrashoist_core::gateway::flow_rate::FlowRate;

const DECAY_S: f64 = 5.0;

#[test]
fn a_steady_rate_is_accurate_from_its_first_seconds() {
    for seconds in [2_u64, 5, 20] {
        let mut rate = FlowRate::default();

        for tenth in 0..seconds * 10 {
            rate.add(100, DECAY_S, Duration::from_millis(tenth * 100));
        }

        let measured = rate.per_second(DECAY_S, Duration::from_secs(seconds));
        assert!((900.0..1_150.0).contains(&measured), "{measured} after {seconds} s");
    }
}

#[test]
fn an_adopted_rate_is_returned_and_decays() {
    let now = Duration::from_secs(3);

    let rate = FlowRate::adopt(1_000, DECAY_S, now);

    assert!((rate.per_second(DECAY_S, now) - 1_000.0).abs() < 1.0);
    assert!(rate.per_second(DECAY_S, now + Duration::from_secs(20)) < 50.0);
}
