//! A gateway stands still while servers begin to run its requests and its callers leave.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use review_stand_ins::engine::{Runs, TOKENS_PER_EVENT, count_events, engine};
use review_stand_ins::fleet::{Fleet, Route, request};
use review_stand_ins::harness::{Case, run};
use review_stand_ins::server::Server;

const RESERVED_TOKENS: u64 = 240_000;
const PROMPT_TOKENS: u64 = 3_000;
const EVENT_COUNT: u64 = 6;
const DEADLINE: Duration = Duration::from_secs(12);
/// Callers leave a stream after a gap of two seconds.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
const FIRST_EVENT_AFTER: Duration = Duration::from_millis(800);
const FROZEN_FOR: Duration = Duration::from_secs(4);
/// Requests in progress when the gateway stands still.
const BURST_COUNT: usize = 40;
/// Requests of the second part, more than the tenant's tokens allow.
const LATER_COUNT: usize = 200;

fn main() {
    run(judge)
}

fn judge(case: &Case) -> Result<bool, String> {
    let runs = Runs::default();
    let handler =
        |id: &str| engine(id, &runs, FIRST_EVENT_AFTER, Duration::from_millis(10), EVENT_COUNT);
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
    let fleet = Fleet::start(case, 2, servers, &[route], RESERVED_TOKENS)?;
    let delivered_events = Mutex::new(0);
    let send = |gateway: usize, id: &str| {
        let output = EVENT_COUNT * TOKENS_PER_EVENT;
        let mut chat = request("POST", "chat", id, DEADLINE, Some((PROMPT_TOKENS, output)));
        chat.patience = CALLER_PATIENCE;
        let answer = fleet.send(gateway, &chat);
        let events = count_events(&answer.body);
        *delivered_events.lock().map_err(|_| "lock")? += events;
        case.record.add(format!(
            "{id} to gateway {gateway}: status {}, {events} events, whole {}, caller left {}",
            answer.status, answer.is_whole, answer.has_left
        ));
        Ok::<u16, String>(answer.status)
    };

    thread::scope(|scope| {
        for number in 0..BURST_COUNT {
            let send = &send;
            scope.spawn(move || send(0, &format!("a{number}")));
            thread::sleep(Duration::from_millis(8));
        }
        thread::sleep(FIRST_EVENT_AFTER / 2);
        if case.has_trouble {
            fleet.gateways[0].set_frozen(true);
            case.record.add("gateway 0 stands still");
            thread::sleep(FROZEN_FOR);
            fleet.gateways[0].set_frozen(false);
            case.record.add("gateway 0 goes on");
        }
    });
    thread::sleep(Duration::from_secs(2));
    case.record.add(format!("{} requests have run so far", runs.count()));

    let mut refused_in_a_row = 0;
    for batch in 0..LATER_COUNT / 10 {
        let statuses: Vec<u16> = thread::scope(|scope| {
            let senders: Vec<_> = (0..10)
                .map(|number| {
                    let send = &send;
                    scope.spawn(move || send(number % 2, &format!("b{batch}-{number}")))
                })
                .collect();
            senders.into_iter().filter_map(|sender| sender.join().ok()?.ok()).collect()
        });
        refused_in_a_row = if statuses.contains(&200) { 0 } else { refused_in_a_row + 1 };
        if refused_in_a_row == 6 {
            break;
        }
        thread::sleep(Duration::from_millis(300));
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
