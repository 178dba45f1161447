//! The log service comes back from a copy that is older than a server's report that it leaves.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::fleet::{Fleet, Route, ZONE, request};
use review_stand_ins::harness::{Case, run};
use review_stand_ins::log_service::SERVERS_TOPIC;
use review_stand_ins::server::{Handler, Server, response_head};

const DEADLINE: Duration = Duration::from_millis(1_500);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
const WORK_TIME: Duration = Duration::from_millis(60);
/// The time from the copy of the log service to the report of the server that it leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(500);
/// How long no bids come after that report, so that no answer says that the server leaves; on the
/// sheet a machine sends a server of this service less than one bid a second.
const QUIET_AFTER: Duration = Duration::from_millis(700);
/// The time from that report until the log service is away.
const AWAY_AFTER: Duration = Duration::from_millis(2_500);
const AWAY_FOR: Duration = Duration::from_millis(300);
/// The time until the server, which writes every 1.2 s, writes its report again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(1_200);
/// The time until the server exits: some seconds after the drain timeout.
const EXITS_AFTER: Duration = Duration::from_millis(1_700);
/// The time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const CALLER_COUNT: usize = 8;
const GATEWAY_COUNT: usize = 4;

fn main() {
    run(judge)
}

fn judge(case: &Case) -> Result<bool, String> {
    let mut servers = Vec::new();
    let is_leaving = Arc::new(AtomicBool::new(false));
    for (index, id) in ["i-desk-0", "i-desk-1"].into_iter().enumerate() {
        let is_leaving = Arc::clone(&is_leaving);
        let handler: Handler = Arc::new(move |stream, request, _| {
            let request_id = request.header("request-id").unwrap_or("-").to_owned();
            thread::sleep(WORK_TIME);
            let leaves = index == 0 && is_leaving.load(Ordering::SeqCst);
            let headers: &[(&str, &str)] = if leaves { &[("Server-Leaving", "1")] } else { &[] };
            let head = response_head(200, &request_id, id, headers, Some(4));
            stream.write_all(head.as_bytes())?;
            stream.write_all(b"done")
        });
        servers.push(Server::start(id, "desk", GATEWAY_COUNT, handler)?);
    }
    let route = Route {
        name: "bid",
        kind: "non_idempotent",
        pool: "desk",
        timeout_ms: 800,
        target_ms: 300,
        max_attempts: 1,
    };
    let fleet = Fleet::start(case, GATEWAY_COUNT, servers, &[route], 1_000_000)?;
    let leaving = fleet.servers[0].clone();
    let is_over = AtomicBool::new(false);
    let is_quiet = AtomicBool::new(false);
    let mut leaving_offset = 0;

    thread::scope(|scope| {
        for caller in 0..CALLER_COUNT {
            let (fleet, record) = (&fleet, &case.record);
            let (is_over, is_quiet) = (&is_over, &is_quiet);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    if is_quiet.load(Ordering::SeqCst) {
                        thread::sleep(REQUEST_INTERVAL);
                        continue;
                    }
                    let id = format!("bid-{caller}-{number}");
                    let bid = request("POST", "bid", &id, DEADLINE, None);
                    record.add(format!("{id} sent to gateway {}", caller % GATEWAY_COUNT));
                    let answer = fleet.send(caller % GATEWAY_COUNT, &bid);
                    record.add(format!("{id} answered: status {}", answer.status));
                    thread::sleep(REQUEST_INTERVAL);
                }
            });
        }
        thread::sleep(Duration::from_secs(1));
        let copy = fleet.log.copy();
        case.record.add("the copy of the log service is taken");
        is_quiet.store(true, Ordering::SeqCst);
        thread::sleep(LEAVES_AFTER);
        is_leaving.store(true, Ordering::SeqCst);
        leaving_offset = leaving.write_entry(&fleet.log, ZONE, "draining", 2);
        case.record.add("i-desk-0 has reported that it leaves");
        thread::sleep(QUIET_AFTER);
        is_quiet.store(false, Ordering::SeqCst);
        thread::sleep(AWAY_AFTER.saturating_sub(QUIET_AFTER));
        if case.has_trouble {
            fleet.log.take_away();
            case.record.add("the log service is away");
            thread::sleep(AWAY_FOR);
            fleet.log.bring_back(&copy);
            fleet.write_config_again();
            fleet.servers[1].write_entry(&fleet.log, ZONE, "ready", 3);
            case.record.add("the log service is back from the copy, with a new era");
        } else {
            thread::sleep(AWAY_FOR);
        }
        thread::sleep(WRITTEN_AGAIN_AFTER);
        leaving.write_entry(&fleet.log, ZONE, "draining", 3);
        case.record.add("i-desk-0 has written its report again");
        thread::sleep(EXITS_AFTER.saturating_sub(WRITTEN_AGAIN_AFTER));
        leaving.end();
        case.record.add("i-desk-0 exits");
        thread::sleep(Duration::from_secs(1));
        is_over.store(true, Ordering::SeqCst);
    });

    let mut late_count = 0;
    for gateway in 0..GATEWAY_COUNT {
        let known_at: Instant = fleet
            .log
            .read_beyond_at(gateway, SERVERS_TOPIC, leaving_offset)
            .ok_or("a gateway did not read the report of the server")?;
        let late: Vec<_> = leaving
            .arrivals()
            .into_iter()
            .filter(|arrival| arrival.machine == gateway && arrival.at > known_at + DRAIN_TIMEOUT)
            .collect();
        for arrival in &late {
            case.record.add(format!(
                "{} reached i-desk-0 from gateway {gateway}, {} ms after that gateway had read that \
                 the server leaves",
                arrival.request_id,
                (arrival.at - known_at).as_millis()
            ));
        }
        late_count += late.len();
    }
    case.record.add(format!("{late_count} requests reached the leaving server too late"));
    Ok(late_count == 0)
}
