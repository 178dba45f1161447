//! A gateway gets SIGTERM while it sends answers over its link.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::caller::{Answer, send};
use review_stand_ins::fleet::{Fleet, Route, request};
use review_stand_ins::harness::{Case, run, wait_until};
use review_stand_ins::link::start_link;
use review_stand_ins::server::{Handler, Server, response_head};

const DEADLINE: Duration = Duration::from_secs(15);
/// The length of an answer.
const BODY_BYTES: usize = 1_000_000;
/// Requests at the same time.
const CALLER_COUNT: usize = 8;
/// The bandwidth of the machine's link: 10 Mbit/s.
const LINK_BYTES_PER_S: usize = 1_250_000;
/// The time from the requests to SIGTERM.
const TERMINATED_AFTER: Duration = Duration::from_millis(500);
const GRACE_PERIOD: Duration = Duration::from_secs(8);

fn main() {
    run(judge)
}

fn judge(case: &Case) -> Result<bool, String> {
    let record = case.record.clone();
    let handler: Handler = Arc::new(move |stream, request, _| {
        let id = request.header("request-id").unwrap_or("-").to_owned();
        let head = response_head(200, &id, "i-desk-0", &[], Some(BODY_BYTES));
        stream.write_all(head.as_bytes())?;
        stream.write_all(&vec![b'x'; BODY_BYTES])?;
        record.add(format!("server has run {id} and sent all of its answer"));
        Ok(())
    });
    let server = Server::start("i-desk-0", "desk", 1, handler)?;
    let route = Route {
        name: "bid",
        kind: "non_idempotent",
        pool: "desk",
        timeout_ms: 15_000,
        target_ms: 500,
        max_attempts: 1,
        may_resume: false,
    };
    let mut fleet = Fleet::start(case, 1, vec![server], &[route], 1_000_000)?;
    let link = start_link(fleet.gateways[0].caller_address, LINK_BYTES_PER_S)?;

    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let record = case.record.clone();
            thread::spawn(move || {
                let id = format!("bid-{number}");
                record.add(format!("caller sends {id}"));
                let answer = send(link, &request("POST", "bid", &id, DEADLINE, None));
                record.add(format!(
                    "{id}: status {}, {} of {BODY_BYTES} bytes, whole {}, caller left {}",
                    answer.status,
                    answer.body.len(),
                    answer.is_whole,
                    answer.has_left
                ));
                answer
            })
        })
        .collect();
    thread::sleep(TERMINATED_AFTER);
    let terminated_at = Instant::now();
    if case.has_trouble {
        fleet.gateways[0].terminate();
        case.record.add("SIGTERM");
        let gateway = &mut fleet.gateways[0];
        wait_until("end of the gateway", GRACE_PERIOD * 2, || gateway.has_ended())?;
        case.record.add(format!(
            "the gateway has ended by itself, {} ms after SIGTERM, of {} ms",
            terminated_at.elapsed().as_millis(),
            GRACE_PERIOD.as_millis()
        ));
    }
    let answers: Vec<Answer> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let run_count = fleet.servers[0].arrivals().len();
    let whole_count = answers.iter().filter(|answer| answer.is_whole && answer.status == 200);
    let cut_count = run_count - whole_count.count();
    case.record.add(format!("{run_count} bids ran, {cut_count} of their answers were cut off"));
    Ok(cut_count == 0)
}
