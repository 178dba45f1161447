//! All gateways are killed at once, and callers take their streams up again.

use std::thread;
use std::time::Duration;

use review_stand_ins::caller::Answer;
use review_stand_ins::engine::{Runs, count_events, engine};
use review_stand_ins::fleet::{Fleet, Route, request};
use review_stand_ins::harness::{Case, run};
use review_stand_ins::server::Server;

/// Callers with a stream; the rule judges 12 or more.
const CALLER_COUNT: usize = 16;
const GATEWAY_COUNT: usize = 2;
const DEADLINE: Duration = Duration::from_secs(15);
const EVENT_COUNT: u64 = 80;
const EVENT_INTERVAL: Duration = Duration::from_millis(150);
const PROMPT_TOKENS: u64 = 900;
const OUTPUT_TOKENS: u64 = EVENT_COUNT * 5;
/// The time from the start of the streams to the kill.
const KILLED_AFTER: Duration = Duration::from_secs(2);
/// The time until a process that was killed is started again.
const RESTARTED_AFTER: Duration = Duration::from_secs(1);
/// `contactMs`, with a margin: the machines are in touch again.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_300);

fn main() {
    run(judge)
}

fn judge(case: &Case) -> Result<bool, String> {
    let runs = Runs::default();
    let mut servers = Vec::new();
    for id in ["i-llm-0", "i-llm-1", "i-llm-2"] {
        let handler = engine(id, &runs, Duration::from_millis(60), EVENT_INTERVAL, EVENT_COUNT);
        servers.push(Server::start(id, "llm", GATEWAY_COUNT, handler)?);
    }
    let route = Route {
        name: "draft",
        kind: "streaming",
        pool: "llm",
        timeout_ms: 15_000,
        target_ms: 800,
        max_attempts: 2,
        may_resume: true,
    };
    let mut fleet = Fleet::start(case, GATEWAY_COUNT, servers, &[route], 10_000_000)?;

    let addresses: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.caller_address).collect();
    let streams: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (address, has_trouble) = (addresses[caller % GATEWAY_COUNT], case.has_trouble);
            thread::spawn(move || {
                let mut draft = stream_request(&format!("first-{caller}"));
                if !has_trouble {
                    // Without the kill the connection of the caller breaks off.
                    draft.leaves_after = Some(KILLED_AFTER);
                }
                review_stand_ins::caller::send(address, &draft)
            })
        })
        .collect();
    thread::sleep(KILLED_AFTER);
    if case.has_trouble {
        fleet.gateways.iter_mut().for_each(|gateway| gateway.kill());
        case.record.add("all gateways are killed");
        thread::sleep(RESTARTED_AFTER);
        for gateway in &mut fleet.gateways {
            gateway.restart()?;
        }
        for gateway in &fleet.gateways {
            gateway.wait_until_ready()?;
        }
        case.record.add("all gateways are ready again");
    } else {
        thread::sleep(RESTARTED_AFTER);
    }
    let broken: Vec<Answer> = streams.into_iter().filter_map(|stream| stream.join().ok()).collect();
    for (caller, answer) in broken.iter().enumerate() {
        case.record.add(format!(
            "first-{caller}: status {}, {} events, whole {}",
            answer.status,
            count_events(&answer.body),
            answer.is_whole
        ));
    }
    thread::sleep(IN_TOUCH_AFTER);

    let counts = thread::scope(|scope| {
        let fleet = &fleet;
        let taken_up: Vec<_> = broken
            .iter()
            .enumerate()
            .filter(|(_, answer)| answer.status == 200 && !answer.is_whole)
            .map(|(caller, answer)| {
                let last_event = count_events(&answer.body);
                scope.spawn(move || {
                    let id = format!("again-{caller}");
                    let mut draft = stream_request(&id);
                    draft.headers.push(("Last-Event-Id", last_event.to_string()));
                    draft.headers.push(("Resumes", format!("first-{caller}")));
                    // Another gateway than before.
                    let answer = fleet.send((caller + 1) % GATEWAY_COUNT, &draft);
                    let events = count_events(&answer.body);
                    case.record.add(format!(
                        "{id}, after event {last_event}: status {}, {events} events, whole {}: {}",
                        answer.status,
                        answer.is_whole,
                        reason(&answer)
                    ));
                    answer.status == 200 && events > 0
                })
            })
            .collect();
        let new: Vec<_> = (0..CALLER_COUNT)
            .map(|caller| {
                scope.spawn(move || {
                    let id = format!("new-{caller}");
                    let answer = fleet.send(caller % GATEWAY_COUNT, &stream_request(&id));
                    case.record.add(format!("{id}: status {}", answer.status));
                    answer.status == 200
                })
            })
            .collect();
        let taken_up_count = taken_up.len();
        let went_on = taken_up.into_iter().filter_map(|caller| caller.join().ok());
        let went_on_count = went_on.filter(|went_on| *went_on).count();
        let begun = new.into_iter().filter_map(|caller| caller.join().ok());
        (taken_up_count, went_on_count, begun.filter(|begun| *begun).count())
    });
    let (taken_up_count, went_on_count, begun_count) = counts;
    case.record.add(format!(
        "of {taken_up_count} streams that callers took up again, {went_on_count} went on; of \
         {CALLER_COUNT} new ones {begun_count} began"
    ));
    if taken_up_count < 12 {
        return Err("fewer than 12 streams were taken up again".to_owned());
    }
    let went_on_share = went_on_count as f64 / taken_up_count as f64;
    Ok(went_on_share >= 0.5 * begun_count as f64 / CALLER_COUNT as f64)
}

fn stream_request(id: &str) -> review_stand_ins::caller::Request {
    request("POST", "draft", id, DEADLINE, Some((PROMPT_TOKENS, OUTPUT_TOKENS)))
}

fn reason(answer: &Answer) -> String {
    if answer.status == 200 {
        return "goes on".to_owned();
    }
    String::from_utf8_lossy(&answer.body).into_owned()
}
