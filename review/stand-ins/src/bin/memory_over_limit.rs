//! Callers send bodies of the longest length that the configuration allows, a few more than usual at
//! once, and the platform kills the process because it exceeds its memory.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use review_stand_ins::fleet::{Fleet, Route, request};
use review_stand_ins::harness::{Case, Record, run};
use review_stand_ins::http::{Message, read_head, read_response_body};
use review_stand_ins::server::{Handler, Server, response_head};

/// `limits.memoryMb` of the machine.
const MEMORY_BYTES: u64 = 110 * 1_048_576;
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Callers that send long bodies at the same time, and those in a burst of 1.7 times as many.
const USUAL_COUNT: usize = 10;
const BURST_COUNT: usize = 17;
/// Callers of bids, each on a kept connection.
const BIDDER_COUNT: usize = 12;
const DEADLINE: Duration = Duration::from_secs(12);
const WORK_TIME: Duration = Duration::from_millis(400);
/// The time between two parts of a long body, and their length: 1.3 MB/s for each caller.
const PART_INTERVAL: Duration = Duration::from_millis(50);
const PART_BYTES: usize = 65_536;
/// The rule allows three.
const ALLOWED_COUNT: usize = 3;

fn main() {
    run(judge)
}

fn judge(case: &Case) -> Result<bool, String> {
    let handler: Handler = Arc::new(|stream, request, _| {
        let id = request.header("request-id").unwrap_or("-").to_owned();
        thread::sleep(WORK_TIME);
        stream.write_all(response_head(200, &id, "i-desk-0", &[], Some(4)).as_bytes())?;
        stream.write_all(b"done")
    });
    let server = Server::start("i-desk-0", "desk", 1, handler)?;
    let route = |name| Route {
        name,
        kind: "non_idempotent",
        pool: "desk",
        timeout_ms: 12_000,
        target_ms: 500,
        max_attempts: 1,
        may_resume: false,
    };
    let mut fleet =
        Fleet::start(case, 1, vec![server], &[route("bid"), route("photo")], 1_000_000)?;
    let address = fleet.gateways[0].caller_address;
    let is_over = AtomicBool::new(false);
    let lost_count = AtomicUsize::new(0);
    let uploader_count = if case.has_trouble { BURST_COUNT } else { USUAL_COUNT };

    thread::scope(|scope| {
        let record = &case.record;
        let bidders: Vec<_> = (0..BIDDER_COUNT)
            .map(|bidder| {
                let (fleet, is_over, lost_count) = (&fleet.servers[0], &is_over, &lost_count);
                scope.spawn(move || bid_until(address, bidder, record, fleet, is_over, lost_count))
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        record.add(format!("{uploader_count} callers send bodies of {BODY_BYTES} bytes"));
        let uploaders: Vec<_> = (0..uploader_count)
            .map(|number| scope.spawn(move || upload(address, number, record)))
            .collect();
        let gateway = &mut fleet.gateways[0];
        let mut most_bytes = 0;
        while uploaders.iter().any(|uploader| !uploader.is_finished()) {
            let bytes = gateway.anonymous_memory_bytes();
            most_bytes = most_bytes.max(bytes);
            if bytes > MEMORY_BYTES {
                gateway.kill();
                record.add(format!(
                    "the platform kills the gateway, which has {bytes} bytes of {MEMORY_BYTES}"
                ));
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        record.add(format!("most memory of the gateway: {most_bytes} bytes"));
        is_over.store(true, Ordering::SeqCst);
        drop((uploaders, bidders));
    });
    let lost_count = lost_count.load(Ordering::SeqCst);
    case.record.add(format!(
        "{lost_count} bids of kept connections were passed on to a sound server and got no answer"
    ));
    Ok(lost_count <= ALLOWED_COUNT)
}

/// Sends bids on one connection until the end.
fn bid_until(
    address: SocketAddr,
    bidder: usize,
    record: &Record,
    server: &Server,
    is_over: &AtomicBool,
    lost_count: &AtomicUsize,
) {
    let Ok(stream) = TcpStream::connect(address) else {
        return;
    };
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("bid-{bidder}-{number}");
        let bytes = request("POST", "bid", &id, DEADLINE, None).to_bytes();
        record.add(format!("caller sends {id}"));
        let answer = writer.write_all(&bytes).and_then(|()| read_answer(&mut reader));
        match answer {
            Ok(Some(answer)) => record.add(format!("{id}: status {}", answer.status())),
            Ok(None) | Err(_) => {
                let has_arrived = server.arrivals().iter().any(|arrival| arrival.request_id == id);
                record.add(format!("{id}: no answer; it reached the server: {has_arrived}"));
                lost_count.fetch_add(usize::from(has_arrived && number > 0), Ordering::SeqCst);
                return;
            }
        }
    }
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_response_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Sends one long body part by part.
fn upload(address: SocketAddr, number: usize, record: &Record) {
    let mut photo = request("POST", "photo", &format!("photo-{number}"), DEADLINE, None);
    photo.body = vec![b'p'; BODY_BYTES];
    let bytes = photo.to_bytes();
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    for part in bytes.chunks(PART_BYTES) {
        if stream.write_all(part).is_err() {
            break;
        }
        thread::sleep(PART_INTERVAL);
    }
    let answer = read_answer(&mut BufReader::new(stream));
    let status = answer.ok().flatten().map_or(0, |answer| answer.status());
    record.add(format!("photo-{number}: status {status}"));
}
