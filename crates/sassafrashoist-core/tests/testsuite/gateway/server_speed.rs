use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::response_overhead::ResponseOverhead;
use sassafrashoist_core::gateway::server_speed::ServerSpeed;

const NOW: Duration = Duration::from_secs(100);
const INITIAL: f64 = 50.0;

fn at(ms: u64) -> Duration {
    NOW + Duration::from_millis(ms)
}

// Prompts of a few hundred tokens take less time at an engine than their connection does.
#[test]
fn speed_is_learned_beside_a_fixed_overhead() {
    for (tokens_per_ms, overhead_ms) in [(157.0, 4.0), (157.0, 20.0), (64.2, 20.0), (24.0, 5.0)] {
        let mut rng = StdRng::seed_from_u64(5);
        let mut speed = ServerSpeed::default();
        let mut overhead = ResponseOverhead::default();
        for _ in 0..500 {
            let tokens = 500.0 - 1_500.0 * (1.0 - rng.random::<f64>()).ln();
            let ms = overhead_ms + tokens / tokens_per_ms;
            let waited = Duration::from_secs_f64(ms / 1_000.0);
            speed.record_prompt(tokens, overhead.prompt_time(waited), INITIAL, NOW);
            overhead.record(tokens, waited, speed.tokens_per_ms(INITIAL));
        }

        let ratio = speed.tokens_per_ms(INITIAL) / tokens_per_ms;
        assert!((0.7..1.4).contains(&ratio), "{tokens_per_ms}, {overhead_ms}: {ratio}");
    }
}

// An old report would keep a server unused that works as usual again.
#[test]
fn slowness_is_as_usual_a_second_after_its_report() {
    let mut speed = ServerSpeed::default();
    speed.record_slowness(250, NOW);

    assert!((speed.slowness(NOW) - 2.5).abs() < 0.01);
    assert!((speed.slowness(at(1_000)) - 1.0).abs() < 0.02);
}

// A server that states nonsense may neither be excluded nor get all requests.
#[test]
fn wrong_slowness_has_a_bounded_effect() {
    for percent in [1, 1_000_000, u32::MAX] {
        let mut speed = ServerSpeed::default();
        speed.record_slowness(percent, NOW);

        assert!((0.5..=4.0).contains(&speed.slowness(NOW)), "{percent}");
    }
}

// One prompt that waited behind those of other VMs would mark a server as slow for minutes.
#[test]
fn one_slow_response_changes_the_speed_little() {
    let mut speed = ServerSpeed::default();
    for _ in 0..20 {
        speed.record_prompt(2_000.0, Duration::from_millis(20), INITIAL, NOW);
    }
    let before = speed.tokens_per_ms(INITIAL);

    speed.record_prompt(2_000.0, Duration::from_secs(3), INITIAL, NOW);

    assert!(speed.tokens_per_ms(INITIAL) > before * 0.9);
}
