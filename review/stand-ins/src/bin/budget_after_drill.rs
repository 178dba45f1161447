//! The log service comes back from an older copy, and a gateway that drew tokens since is killed.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::engine::{Runs, TOKENS_PER_EVENT, count_events, engine};
use review_stand_ins::fleet::{Fleet, Route, ZONE, request};
use review_stand_ins::harness::{Case, run};
use review_stand_ins::server::Server;

const RESERVED_TOKENS: u64 = 120_000;
const PROMPT_TOKENS: u64 = 900;
const EVENT_COUNT: u64 = 6;
const DEADLINE: Duration = Duration::from_secs(12);
/// The age of the copy from which the log service comes back.
const COPY_AGE: Duration = Duration::from_secs(4);
/// How long the log service is away.
const AWAY_FOR: Duration = Duration::from_secs(1);
/// Requests while the copy ages.
const EARLIER_COUNT: usize = 75;
/// The most requests after that, more than the tenant's tokens allow.
const MAX_LATER_BATCHES: usize = 60;
const BATCH_SIZE: usize = 5;

fn main() {
    run(judge)
}

fn judge(case: &Case) -> Result<bool, String> {
    let runs = Runs::default();
    let handler = |id: &str| {
        engine(id, &runs, Duration::from_millis(60), Duration::from_millis(5), EVENT_COUNT)
    };
    let mut servers = Vec::new();
    for id in ["i-llm-0", "i-llm-1"] {
        servers.push(Server::start(id, "llm", 2, handler(id))?);
    }
    let route = Route {
        name: "chat",
        kind: "streaming",
        pool: "llm",
        timeout_ms: 12_000,
        target_ms: 500,
        max_attempts: 1,
        may_resume: false,
    };
    let mut fleet = Fleet::start(case, 2, servers, &[route], RESERVED_TOKENS)?;
    let delivered_events = Mutex::new(0);
    let send = |fleet: &Fleet, gateway: usize, id: &str| {
        let output = EVENT_COUNT * TOKENS_PER_EVENT;
        let chat = request("POST", "chat", id, DEADLINE, Some((PROMPT_TOKENS, output)));
        let answer = fleet.send(gateway, &chat);
        let events = count_events(&answer.body);
        if let Ok(mut delivered) = delivered_events.lock() {
            *delivered += events;
        }
        case.record.add(format!(
            "{id} to gateway {gateway}: status {}, {events} events, whole {}",
            answer.status, answer.is_whole
        ));
        answer.status
    };

    let copy = fleet.log.copy();
    let copied_at = Instant::now();
    case.record.add("the copy of the log service is taken");
    thread::scope(|scope| {
        for number in 0..EARLIER_COUNT {
            let (send, fleet) = (&send, &fleet);
            scope.spawn(move || send(fleet, 1, &format!("a{number}")));
            thread::sleep(COPY_AGE / (EARLIER_COUNT as u32 + 4));
        }
    });
    thread::sleep(COPY_AGE.saturating_sub(copied_at.elapsed()));
    if case.has_trouble {
        fleet.log.take_away();
        case.record.add("the log service is away");
        fleet.gateways[1].kill();
        case.record.add("gateway 1 is killed");
        thread::sleep(AWAY_FOR);
        fleet.log.bring_back(&copy);
        fleet.write_config_again();
        for server in &fleet.servers {
            server.write_entry(&fleet.log, ZONE, "ready", 9);
        }
        case.record.add("the log service is back from the copy, with a new era");
        fleet.gateways[1].restart()?;
        fleet.gateways[1].wait_until_ready()?;
        case.record.add("gateway 1 is ready again");
    }
    // Longer than the time after which machines are in touch again.
    thread::sleep(Duration::from_secs(4));

    let mut refused_in_a_row = 0;
    for batch in 0..MAX_LATER_BATCHES {
        let statuses: Vec<u16> = thread::scope(|scope| {
            let senders: Vec<_> = (0..BATCH_SIZE)
                .map(|number| {
                    let (send, fleet) = (&send, &fleet);
                    scope.spawn(move || send(fleet, number % 2, &format!("b{batch}-{number}")))
                })
                .collect();
            senders.into_iter().filter_map(|sender| sender.join().ok()).collect()
        });
        refused_in_a_row = if statuses.contains(&200) { 0 } else { refused_in_a_row + 1 };
        if refused_in_a_row == 6 {
            break;
        }
        thread::sleep(Duration::from_millis(250));
    }

    let output_tokens = *delivered_events.lock().map_err(|_| "lock")? * TOKENS_PER_EVENT;
    let used_tokens = runs.prompt_tokens() + output_tokens;
    case.record.add(format!(
        "{} requests ran; input tokens {}, output tokens delivered {output_tokens}, together \
         {used_tokens}; reserved {RESERVED_TOKENS}",
        runs.count(),
        runs.prompt_tokens()
    ));
    Ok(used_tokens <= RESERVED_TOKENS)
}
