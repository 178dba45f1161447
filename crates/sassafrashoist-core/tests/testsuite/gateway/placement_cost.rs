use sassafrashoist_core::gateway::placement_cost::PlacementCost;

fn cost(prefill_tokens: f64) -> PlacementCost {
    PlacementCost {
        prefill_tokens,
        tokens_per_ms: 100.0,
        response_ms: 20.0,
        slowness: 1.0,
        slot_count: 10.0,
        ..PlacementCost::default()
    }
}

// Servers were compared by one speed and not by the prompts that they had to process first.
#[test]
fn expected_time_follows_tokens_ahead_speed_and_slowness() {
    let idle = cost(1_000.0);
    let busy = PlacementCost { tokens_ahead: 4_000.0, ..idle.clone() };
    let slow = PlacementCost { slowness: 2.5, ..idle.clone() };

    assert!((idle.expected_ms() - 10.0).abs() < 0.1);
    assert!((busy.expected_ms() - 50.0).abs() < 0.1);
    assert!((slow.expected_ms() - 25.0).abs() < 0.1);
}

// A request to a server without free slots waits there, whatever its prompt.
#[test]
fn requests_beyond_the_slots_wait() {
    let full = PlacementCost { request_count: 10.0, ..cost(1_000.0) };
    let nearly_full = PlacementCost { request_count: 9.0, ..cost(1_000.0) };

    assert!(full.expected_ms() > nearly_full.expected_ms() + 20.0);
}

// A session that moved for a small gain would have its prefix processed again, at the cost of others.
#[test]
fn prefix_that_another_server_has_cached_costs_others() {
    let cached = cost(1_000.0);
    let repeated = PlacementCost { repeated_tokens: 4_000.0, ..cost(5_000.0) };

    assert!((repeated.total_ms() - cached.total_ms() - 80.0).abs() < 0.1);
}

// Servers without prompts have no prefill speed.
#[test]
fn plain_requests_cost_the_response_time_of_the_server() {
    assert!((cost(0.0).total_ms() - 20.0).abs() < 0.1);
    let slow = PlacementCost { slowness: 2.0, ..cost(0.0) };
    assert!((slow.total_ms() - 40.0).abs() < 0.1);
}
