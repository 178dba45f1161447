//! A server that drains loses its contact to the store, which removes its entry, and serves on for a
//! while. No request may reach it later than the drain timeout after the store acknowledged that it
//! drains.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{send, Answer};
use crate::desk::Desk;
use crate::gateways::Gateway;
use crate::record::Record;
use crate::store::Store;

const GATEWAY_COUNT: u8 = 2;
const SERVER_COUNT: u8 = 3;
const REQUESTS_PER_S: f64 = 68.0;
/// The work of a request at the server that leaves, and at the others.
const WORK_TIMES: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(60)];
const SEND_TIME: Duration = Duration::from_secs(14);
const DRAIN_AT: Duration = Duration::from_secs(5);
const DRAIN_TIMEOUT_S: f64 = 2.0;
/// `srv_cut` lasts 5 s: from soon after the report until after the server has left.
const CUT_AFTER: Duration = Duration::from_millis(300);
/// The server serves on for a little longer than the drain timeout, at times many seconds.
const EXIT_AFTER: Duration = Duration::from_millis(5_250);
const PATIENCE: Duration = Duration::from_millis(1_500);

pub fn run(
    folder: &Path,
    net: &str,
    has_trouble: bool,
    record: Arc<Record>,
) -> Result<bool, String> {
    let address =
        |host: u8, port: u16| -> SocketAddr { format!("{net}.{host}:{port}").parse().unwrap() };
    let failed = |error: std::io::Error| error.to_string();
    let store_address = address(200, 8223);
    let store = Store::start(store_address).map_err(failed)?;
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let id = format!("i-d{number}");
        let at = address(100 + number, 8080);
        let work_time = WORK_TIMES[usize::from(number.min(1))];
        servers.push(Desk::start(&id, at, work_time, &store, &record).map_err(failed)?);
    }
    store.write("keyed.op", "config", CONFIG.as_bytes());
    let mut gateways = Vec::new();
    for number in 0..GATEWAY_COUNT {
        gateways.push(Gateway::start(folder, net, number, store_address).map_err(failed)?);
    }
    for gateway in &mut gateways {
        gateway.wait_until_ready()?;
    }
    std::thread::sleep(Duration::from_secs(1));
    record.line("gateways are ready");

    let leaving = Arc::clone(&servers[0]);
    let acknowledged_s = Arc::new(Mutex::new(None));
    let (began_at, drain_time) = (Instant::now(), Arc::clone(&acknowledged_s));
    let draining = std::thread::spawn(move || {
        let sleep_until = |at: Duration| {
            std::thread::sleep(at.saturating_sub(began_at.elapsed()));
        };
        sleep_until(DRAIN_AT);
        leaving.drain();
        *drain_time.lock().unwrap() = Some(leaving.now_s());
        sleep_until(DRAIN_AT + CUT_AFTER);
        leaving.is_cut_off.store(has_trouble, Ordering::SeqCst);
        sleep_until(DRAIN_AT + EXIT_AFTER);
        leaving.leave();
    });

    let callers: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let answers: Arc<Mutex<BTreeMap<String, Answer>>> = Arc::default();
    let in_progress = Arc::new(AtomicU64::new(0));
    let (mut number, mut next_at, mut seed) = (0_u64, began_at, 68_u64);
    while began_at.elapsed() < SEND_TIME {
        let id = format!("{:016x}", 0x5b00_0000_0000_0000_u64 + number);
        let gateway = callers[number as usize % callers.len()];
        let (answers, in_progress) = (Arc::clone(&answers), Arc::clone(&in_progress));
        let record = Arc::clone(&record);
        in_progress.fetch_add(1, Ordering::SeqCst);
        std::thread::spawn(move || {
            let request = format!(
                "POST /bids/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 1500\r\nAuthorization: Token key-a\r\nContent-Length: 3\r\n\r\nbid"
            );
            record.line(&format!("client sends {id}"));
            let answer = send(gateway, &request, PATIENCE);
            record.line(&format!(
                "client got {id}: status {}, of a server: {}, whole: {}",
                answer.status, answer.is_signed, answer.is_whole
            ));
            answers.lock().unwrap().insert(id, answer);
            in_progress.fetch_sub(1, Ordering::SeqCst);
        });
        number += 1;
        // Clients come independently of each other: the time between two is exponential.
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let uniform = ((seed >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        next_at += Duration::from_secs_f64(-uniform.ln() / REQUESTS_PER_S);
        std::thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    let give_up_at = Instant::now() + Duration::from_secs(5);
    while in_progress.load(Ordering::SeqCst) > 0 && Instant::now() < give_up_at {
        std::thread::sleep(Duration::from_millis(50));
    }
    draining.join().map_err(|_| "the drain could not be played".to_owned())?;
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err("a gateway has ended".to_owned());
    }
    let acknowledged_s = acknowledged_s.lock().unwrap().ok_or("no drain was acknowledged")?;
    let runs = servers[0].runs();
    let late: Vec<_> =
        runs.iter().filter(|run| run.arrived_s > acknowledged_s + DRAIN_TIMEOUT_S).collect();
    let answers = answers.lock().unwrap();
    let is_lost = |id: &str| answers.get(id).is_none_or(|answer| answer.status != 200);
    let lost = late.iter().filter(|run| !run.is_finished && is_lost(&run.request_id)).count();
    let count = |status: u16| answers.values().filter(|answer| answer.status == status).count();
    record.result(&format!(
        "{number} requests sent: {} got 200, {} 503, {} 502, {} no answer",
        count(200),
        count(503),
        count(502),
        count(0)
    ));
    let latest = late.iter().map(|run| run.arrived_s - acknowledged_s).fold(0.0, f64::max);
    record.result(&format!(
        "{} requests reached {} later than {DRAIN_TIMEOUT_S} s after the store had acknowledged that \
         it drains, the latest after {latest:.3} s; {lost} of them were lost at its exit",
        late.len(), servers[0].id
    ));
    Ok(late.is_empty())
}

const CONFIG: &str =
    "{\"version\":7,\"routes\":[{\"name\":\"r-bids\",\"hostname\":\"desk.example\",\
    \"pathPrefix\":\"/bids/\",\"routeType\":\"non_idempotent\",\"timeoutMs\":1500,\
    \"targetLatencyMs\":300,\"priorityClass\":2,\"backend\":\"desk\",\"maxAttempts\":1,\
    \"public\":false,\"sessionAffinity\":false,\"streamResume\":false}],\
    \"backends\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\
    \"protocol\":\"h1\",\"tlsEnabled\":false}],\"limits\":{\"maxHeaderBytes\":16384,\
    \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
    \"tenants\":[{\"name\":\"workshop\",\"apiKeys\":[\"key-a\"],\"priorityClass\":1,\
    \"reserved\":3000000}]}";
