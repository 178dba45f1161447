//! Tests of the prompts by which those of other VMs are estimated.

use std::time::Duration;

use sassafrashoist_core::gateway::recent_prompts::RecentPrompts;

// The mix of long and short prompts turns over within seconds.
#[test]
fn mean_follows_the_recent_prompts() {
    let mut prompts = RecentPrompts::default();
    let before = prompts.mean_tokens();
    prompts.record(10_000, Duration::from_secs(1));
    prompts.record(2_000, Duration::from_secs(1));
    let mixed = prompts.mean_tokens();

    prompts.record(2_000, Duration::from_secs(200));

    assert_eq!((before, mixed), (0.0, 6_000.0));
    assert!((prompts.mean_tokens() - 2_000.0).abs() < 1.0);
}
