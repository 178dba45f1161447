use std::collections::BTreeSet;
use std::time::Duration;

use sassafrashoist_core::gateway::prompt_shares::PromptShares;

const NOW: Duration = Duration::from_secs(100);

fn share(long_tokens: u64, short_tokens: u64, server_count: usize) -> BTreeSet<u64> {
    let mut shares = PromptShares::default();
    if long_tokens > 0 {
        shares.record(long_tokens, true, NOW);
    }
    shares.record(short_tokens, false, NOW);
    let ranks: Vec<u64> =
        (0..server_count).map(|server| PromptShares::rank(&format!("engine-{server}"))).collect();
    let highest = shares.highest_long_rank(&mut ranks.clone());
    ranks.into_iter().filter(|rank| highest.is_some_and(|highest| *rank <= highest)).collect()
}

// VMs that have seen another mix would send long prompts to the servers of each other's short ones.
#[test]
fn shares_of_different_size_are_nested() {
    let sizes = [0, 100, 300, 1_000, 9_000].map(|long| share(long, 1_000, 60));

    assert!(sizes.windows(2).all(|pair| pair[0].is_subset(&pair[1])));
    assert!(sizes[0].is_empty());
    assert!(sizes[4].len() > 45 && sizes[4].len() < 60, "{}", sizes[4].len());
}

// In a pool of a few servers one kind of prompt would be left without a server.
#[test]
fn each_kind_of_prompt_has_a_server() {
    for server_count in [2, 3, 5] {
        assert!(!share(1, 1_000_000, server_count).is_empty());
        assert!(share(1_000_000, 1, server_count).len() < server_count);
    }
    assert!(share(1_000, 1_000, 1).is_empty());
}

// The page defines a long prompt by half of the shortest target latency.
#[test]
fn prompt_is_long_if_its_prefill_takes_more_than_half_of_the_shortest_target() {
    let target = Duration::from_millis(400);

    assert!(!PromptShares::is_long(12_800, target, 64.2));
    assert!(PromptShares::is_long(12_900, target, 64.2));
}
