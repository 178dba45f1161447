//! Choosing a backend server, and the events that change which servers are available.

use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::ids::Timestamp;
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::choose::{Choice, ServerRequirements, choose_server};
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;
use sassafrashoist_core::routing::concurrency_limit::LoadSignal;
use sassafrashoist_core::routing::policy::RoutingPolicy;
use sassafrashoist_core::routing::prefix_index::hash_prompt_blocks;
use sassafrashoist_core::routing::routing_table::{AttemptEnd, RoutingTable};
use sassafrashoist_core::routing::server_view::{LoadReport, ServerView};

const START: Timestamp = Duration::from_secs(1_000);
const SLOT_COUNT: u32 = 4;

fn server(number: usize, data_centre_id: &str, model_id: &str) -> ServerView {
    ServerView {
        server_id: format!("{data_centre_id}-{number}"),
        data_centre_id: data_centre_id.to_owned(),
        pool_id: "engines".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        model_ids: [model_id.to_owned()].into(),
        slot_count: SLOT_COUNT,
        leaving_since: None,
        load: LoadReport::default(),
        in_flight_count: 0,
    }
}

fn table(local_count: usize, remote_count: usize) -> RoutingTable {
    let mut table = RoutingTable::new("here".to_owned(), 1);
    let local = (0..local_count).map(|number| server(number, "here", "m"));
    let remote = (0..remote_count).map(|number| server(number, "there", "m"));
    table.replace_servers(local.chain(remote).collect());
    table
}

fn requirements(model_id: &str) -> ServerRequirements {
    ServerRequirements {
        pool_id: "engines".to_owned(),
        model_id: Some(model_id.to_owned()),
        excluded: Vec::new(),
        blocks: Vec::new(),
        reserved_slot_count: 0,
    }
}

fn choose(table: &mut RoutingTable, now: Timestamp, seed: u64) -> Result<Choice, ResultCode> {
    let mut random = StdRng::seed_from_u64(seed);
    choose_server(table, &requirements("m"), RoutingPolicy::PrefixAware, now, || random.random())
}

fn ended(verdict: AttemptVerdict) -> AttemptEnd {
    AttemptEnd { verdict, signal: None, service_time: None }
}

fn fail_until_ejected(table: &mut RoutingTable, server_id: &str, now: Timestamp) {
    for _ in 0..3 {
        table.end_attempt(server_id, ended(AttemptVerdict::Failed), now);
    }
}

#[test]
fn choice_fails_as_overloaded_when_every_server_is_at_its_limit() {
    let mut table = table(2, 0);
    for seed in 0..u64::from(2 * SLOT_COUNT) {
        choose(&mut table, START, seed).unwrap();
    }

    let result = choose(&mut table, START, 99);

    assert_eq!(result, Err(ResultCode::Overloaded));
}

#[test]
fn choice_leaves_reserved_slots_to_more_urgent_requests() {
    let mut table = table(1, 0);
    let reserving = ServerRequirements { reserved_slot_count: 1, ..requirements("m") };
    for _ in 1..SLOT_COUNT {
        choose_server(&mut table, &reserving, RoutingPolicy::PrefixAware, START, || 0).unwrap();
    }

    let less_urgent =
        choose_server(&mut table, &reserving, RoutingPolicy::PrefixAware, START, || 0);
    let urgent = choose(&mut table, START, 0);

    assert_eq!(less_urgent, Err(ResultCode::Overloaded));
    assert!(urgent.is_ok());
}

#[test]
fn routers_agree_on_the_server_of_a_prompt_that_none_has_seen() {
    let mut requirements = requirements("m");
    requirements.blocks = hash_prompt_blocks(&[b'p'; 1_024]);
    let first_choice = |seed: u64| {
        let mut random = StdRng::seed_from_u64(seed);
        choose_server(&mut table(10, 0), &requirements, RoutingPolicy::PrefixAware, START, || {
            random.random()
        })
    };

    let chosen: Vec<_> = (0..20).map(|seed| first_choice(seed).unwrap().server.server_id).collect();

    assert!(chosen.iter().all(|server_id| *server_id == chosen[0]));
}

#[test]
fn choice_fails_without_server_when_no_server_has_the_model() {
    let mut table = table(2, 0);

    let result =
        choose_server(&mut table, &requirements("x"), RoutingPolicy::PrefixAware, START, || 0);

    assert_eq!(result, Err(ResultCode::NoBackendServer));
}

#[test]
fn choice_goes_to_another_data_centre_only_when_local_servers_are_full() {
    let mut table = table(1, 1);
    let local: Vec<_> =
        (0..SLOT_COUNT).map(|seed| choose(&mut table, START, seed.into()).unwrap()).collect();

    let overflow = choose(&mut table, START, 9).unwrap();

    assert!(local.iter().all(|choice| choice.server.server_id == "here-0"));
    assert_eq!(overflow.server.server_id, "there-0");
    assert_eq!(choose(&mut table, START, 10), Err(ResultCode::Overloaded));
}

#[test]
fn routers_do_not_all_send_to_one_server_on_the_same_stale_report() {
    let mut routers: Vec<_> = (0..40).map(|_| table(10, 0)).collect();
    for table in &mut routers {
        for number in 1..10 {
            let load = LoadReport { taken_at: START, running_count: 2, queued_count: 0 };
            table.record_load(&format!("here-{number}"), load, START);
        }
    }

    let choices: Vec<_> = routers
        .iter_mut()
        .enumerate()
        .map(|(seed, table)| choose(table, START, seed as u64).unwrap().server.server_id)
        .collect();

    let to_idle = choices.iter().filter(|server_id| *server_id == "here-0").count();
    assert!(to_idle <= 16, "{to_idle} of 40 routers chose the one idle server");
}

#[test]
fn choice_prefers_the_server_that_caches_the_prefix_until_it_is_busy() {
    let mut table = table(8, 0);
    let mut requirements = requirements("m");
    requirements.blocks = hash_prompt_blocks(&[b'p'; 1_024]);
    let mut random = StdRng::seed_from_u64(1);
    let mut send = || {
        choose_server(&mut table, &requirements, RoutingPolicy::PrefixAware, START, || {
            random.random()
        })
    };

    let choices: Vec<_> = (0..6).map(|_| send().unwrap().server.server_id).collect();

    assert!(choices[1..3].iter().all(|server_id| *server_id == choices[0]));
    assert!(choices.iter().any(|server_id| *server_id != choices[0]));
}

#[test]
fn breaker_probes_again_after_its_time_and_starts_slowly() {
    let mut table = table(2, 0);
    fail_until_ejected(&mut table, "here-0", START);
    let while_open: Vec<_> =
        (0..3).map(|seed| choose(&mut table, START, seed).unwrap().server.server_id).collect();

    let later = START + Duration::from_secs(1);
    let mut probes = 0;
    for seed in 0..u64::from(SLOT_COUNT) {
        probes += usize::from(
            choose(&mut table, later, seed).is_ok_and(|c| c.server.server_id == "here-0"),
        );
    }
    table.end_attempt("here-0", ended(AttemptVerdict::Succeeded), later);
    table.end_attempt("here-0", ended(AttemptVerdict::Succeeded), later);

    assert!(while_open.iter().all(|server_id| server_id == "here-1"));
    assert_eq!(probes, 1);
    assert_eq!(table.limit_count("here-0"), Some(1));
}

#[test]
fn ejection_stops_at_half_of_a_group() {
    let mut table = table(4, 0);
    for number in 0..4 {
        fail_until_ejected(&mut table, &format!("here-{number}"), START);
    }

    let result = choose(&mut table, START, 1);

    assert!(result.is_ok());
}

#[test]
fn load_poll_responses_do_not_close_a_breaker() {
    let mut table = table(2, 0);
    fail_until_ejected(&mut table, "here-0", START);

    table.record_load("here-0", LoadReport { taken_at: START, ..LoadReport::default() }, START);

    let choices = (0..3).map(|seed| choose(&mut table, START, seed).unwrap().server.server_id);
    assert!(choices.into_iter().all(|server_id| server_id == "here-1"));
}

#[test]
fn limit_shrinks_on_queueing_and_grows_again_on_responses_without_queueing() {
    let mut table = table(1, 0);
    let signal = |signal| AttemptEnd { signal: Some(signal), ..ended(AttemptVerdict::Succeeded) };
    for step in 0..20 {
        let now = START + Duration::from_millis(200) * step;
        choose(&mut table, now, 0).unwrap();
        table.end_attempt("here-0", signal(LoadSignal::Queueing), now);
    }
    let shrunk = table.limit_count("here-0");

    for step in 0..100 {
        let now = START + Duration::from_secs(10) + Duration::from_millis(200) * step;
        choose(&mut table, now, 0).unwrap();
        choose(&mut table, now, 0).ok();
        table.end_attempt("here-0", signal(LoadSignal::NoQueueing), now);
        table.end_attempt("here-0", signal(LoadSignal::NoQueueing), now);
    }

    assert_eq!(shrunk, Some(1));
    assert!(table.limit_count("here-0") >= Some(SLOT_COUNT - 1));
}

#[test]
fn servers_that_stay_keep_their_requests_over_a_new_bundle() {
    let mut table = table(1, 0);
    choose(&mut table, START, 0).unwrap();

    table.replace_servers(vec![server(0, "here", "m"), server(1, "here", "m")]);

    assert_eq!(table.server("here-0").unwrap().in_flight_count, 1);
    assert_eq!(table.server("here-1").unwrap().in_flight_count, 0);
}

#[test]
fn server_that_a_bundle_drops_is_not_offered_and_keeps_its_requests_until_they_end() {
    let mut table = table(1, 0);
    choose(&mut table, START, 0).unwrap();
    table.replace_servers(vec![server(1, "here", "m")]);
    let while_dropped = table.server("here-0").cloned();
    let chosen = choose(&mut table, START, 0).unwrap().server.server_id;
    table.replace_servers(vec![server(0, "here", "m"), server(1, "here", "m")]);
    let listed_again = table.server("here-0").unwrap().in_flight_count;

    table.end_attempt("here-0", AttemptEnd::NOT_SENT, START);

    assert_eq!((while_dropped, chosen.as_str(), listed_again), (None, "here-1", 1));
    assert_eq!(table.server("here-0").unwrap().in_flight_count, 0);
}

#[derive(Debug, Clone)]
enum Event {
    Choose(u64, bool),
    End(usize, u8, bool),
    Leave(usize),
    Report(usize, u32),
    Wait(u64),
    Replace(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (any::<u64>(), any::<bool>()).prop_map(|(seed, is_m)| Event::Choose(seed, is_m)),
        5 => (any::<usize>(), 0..3u8, any::<bool>()).prop_map(|(i, v, s)| Event::End(i, v, s)),
        1 => (0..6usize).prop_map(Event::Leave),
        2 => (0..6usize, 0..9u32).prop_map(|(i, n)| Event::Report(i, n)),
        2 => (1..2_000u64).prop_map(Event::Wait),
        1 => (1..6usize).prop_map(Event::Replace),
    ]
}

fn mixed_servers(count: usize) -> Vec<ServerView> {
    (0..count)
        .map(|number| server(number, ["here", "there"][number % 2], ["m", "n"][number / 2 % 2]))
        .collect()
}

fn id_of(number: usize) -> String {
    mixed_servers(6).swap_remove(number).server_id
}

proptest! {
    /// After any events, no request is sent to a leaving server, to a server without the model or
    /// above the limit, and the in-flight counts stay correct.
    #[test]
    fn choice_keeps_every_rule_after_any_events(
        events in prop::collection::vec(event(), 1..120),
        policy in prop::sample::select(RoutingPolicy::ALL.to_vec()),
    ) {
        let mut table = RoutingTable::new("here".to_owned(), 1);
        table.replace_servers(mixed_servers(6));
        let mut now = START;
        let mut running: Vec<String> = Vec::new();
        for event in events {
            match event {
                Event::Choose(seed, is_m) => {
                    let model_id = if is_m { "m" } else { "n" };
                    let mut random = StdRng::seed_from_u64(seed);
                    let limits: Vec<_> =
                        (0..6).map(|n| table.limit_count(&id_of(n))).collect();
                    let chosen = choose_server(
                        &mut table, &requirements(model_id), policy, now, || random.random());
                    if let Ok(choice) = chosen {
                        let server = choice.server;
                        let number = (0..6).find(|n| id_of(*n) == server.server_id).unwrap();
                        prop_assert!(server.leaving_since.is_none());
                        prop_assert!(server.model_ids.contains(model_id));
                        prop_assert!(Some(server.in_flight_count) <= limits[number]);
                        running.push(server.server_id);
                    }
                }
                Event::End(index, verdict, is_queueing) if !running.is_empty() => {
                    let index = index % running.len();
                    let server_id = running.swap_remove(index);
                    let verdict = [
                        AttemptVerdict::Succeeded, AttemptVerdict::Failed, AttemptVerdict::Neutral,
                    ][usize::from(verdict)];
                    let signal = Some(if is_queueing {
                        LoadSignal::Queueing
                    } else {
                        LoadSignal::NoQueueing
                    });
                    table.end_attempt(&server_id, AttemptEnd { signal, ..ended(verdict) }, now);
                }
                Event::End(..) => {}
                Event::Leave(number) => table.record_leaving(&id_of(number), now),
                Event::Report(number, running_count) => {
                    let load = LoadReport { taken_at: now, running_count, queued_count: 0 };
                    table.record_load(&id_of(number), load, now);
                }
                Event::Wait(millis) => now += Duration::from_millis(millis),
                Event::Replace(count) => table.replace_servers(mixed_servers(count)),
            }
        }
        let counted: u32 = table.servers().map(|server| server.in_flight_count).sum();
        let listed = running.iter().filter(|id| table.servers().any(|s| s.server_id == **id));
        prop_assert_eq!(counted as usize, listed.count());
    }

    /// After any number of failures, a server is probed once its breaker's open time has passed and
    /// it has a free slot.
    #[test]
    fn breaker_always_probes_again(rounds in prop::collection::vec(1..4u64, 1..30)) {
        let mut table = table(2, 0);
        let mut now = START;
        for round in rounds {
            for _ in 0..3 * round {
                table.end_attempt("here-0", ended(AttemptVerdict::Failed), now);
            }
            now += Duration::from_secs(33);
            let probed = (0..u64::from(2 * SLOT_COUNT))
                .filter_map(|seed| choose(&mut table, now, seed).ok())
                .filter(|choice| choice.server.server_id == "here-0")
                .count();
            prop_assert!(probed >= 1);
            for _ in 0..SLOT_COUNT {
                table.end_attempt("here-1", ended(AttemptVerdict::Succeeded), now);
            }
            table.end_attempt("here-0", ended(AttemptVerdict::Failed), now);
        }
    }
}
