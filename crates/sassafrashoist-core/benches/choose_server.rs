//! Measures choosing a backend server and ending the attempt on it.

#![allow(missing_docs)]

use std::time::Duration;

use divan::Bencher;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::routing::choose::{ServerRequirements, choose_server};
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;
use sassafrashoist_core::routing::policy::RoutingPolicy;
use sassafrashoist_core::routing::prefix_index::hash_prompt_blocks;
use sassafrashoist_core::routing::routing_table::{AttemptEnd, RoutingTable};
use sassafrashoist_core::routing::server_view::{LoadReport, ServerView};

/// Number of different prompts, which are used in rotation.
const PROMPT_COUNT: usize = 256;

fn main() {
    divan::main();
}

fn build_table(server_count: usize) -> RoutingTable {
    let mut table = RoutingTable::new("here".to_owned(), 16);
    let servers = (0..server_count).map(|number| ServerView {
        server_id: format!("here-engine-{number}"),
        data_centre_id: "here".to_owned(),
        pool_id: "engines".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        model_ids: ["appraiser".to_owned()].into(),
        slot_count: 64,
        leaving_since: None,
        load: LoadReport::default(),
        in_flight_count: 0,
    });
    table.replace_servers(servers.collect());
    table
}

fn build_requirements() -> Vec<ServerRequirements> {
    let requirements = |number: usize| ServerRequirements {
        pool_id: "engines".to_owned(),
        model_id: Some("appraiser".to_owned()),
        excluded: Vec::new(),
        blocks: hash_prompt_blocks(format!("{number:08} ").repeat(200).as_bytes()),
        reserved_slot_count: 0,
    };
    (0..PROMPT_COUNT).map(requirements).collect()
}

fn choose(bencher: Bencher<'_, '_>, server_count: usize, policy: RoutingPolicy) {
    let mut table = build_table(server_count);
    let requirements = build_requirements();
    let mut random = StdRng::seed_from_u64(1);
    let mut now = Duration::from_secs(1_000);
    let mut prompt_index = 0;
    let end = AttemptEnd {
        verdict: AttemptVerdict::Succeeded,
        signal: None,
        service_time: Some(Duration::from_millis(100)),
    };
    bencher.bench_local(|| {
        prompt_index = (prompt_index + 1) % PROMPT_COUNT;
        now += Duration::from_micros(100);
        let choice =
            choose_server(&mut table, &requirements[prompt_index], policy, now, || random.random());
        if let Ok(choice) = choice {
            table.end_attempt(&choice.server.server_id, end, now);
        }
    });
}

#[divan::bench(args = [10, 100, 1_400], sample_size = 1_000)]
fn chosen(bencher: Bencher<'_, '_>, server_count: usize) {
    choose(bencher, server_count, RoutingPolicy::PrefixAware);
}

#[divan::bench(args = [10, 100, 1_400], sample_size = 1_000)]
fn power_of_two(bencher: Bencher<'_, '_>, server_count: usize) {
    choose(bencher, server_count, RoutingPolicy::PowerOfTwoChoices);
}

#[divan::bench(args = [10, 100, 1_400], sample_size = 1_000)]
fn least_outstanding(bencher: Bencher<'_, '_>, server_count: usize) {
    choose(bencher, server_count, RoutingPolicy::LeastOutstanding);
}
