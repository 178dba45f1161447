//! Machines are lost for good, one after the other, and each is replaced by another one at a new address.
//! After the last loss the fleet must serve again.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client::send;
use crate::engine::{Engine, Runs, TOKENS_PER_EVENT};
use crate::gateways::{Gateway, ZONES};
use crate::record::Record;
use crate::store::Store;

const ENGINE_COUNT: u8 = 4;
const RESERVED_TOKENS: u64 = 50_000_000;
const PROMPT_TOKENS: u64 = 826;
const OUTPUT_TOKENS: u64 = 100;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The machines of each zone.
const MACHINES: [usize; 4] = [2, 2, 2, 1];
/// How many machines of each zone are lost. The last loss of the first zone comes last.
const LOST: [usize; 4] = [5, 3, 5, 4];
/// The time before the first loss, and between two.
const CALM_TIME: Duration = Duration::from_secs(5);
const LOSS_INTERVAL: Duration = Duration::from_millis(1_500);
const RECOVERY_TIME_S: f64 = 12.0;
const JUDGED_TIME: Duration = Duration::from_secs(10);
const PATIENCE: Duration = Duration::from_secs(2);

/// The machines of the deployment.
struct Fleet<'a> {
    folder: &'a Path,
    net: &'a str,
    store: SocketAddr,
    record: Arc<Record>,
    /// By zone, the oldest first.
    running: [Vec<(u8, Gateway)>; 4],
    started: [u8; 4],
    next_host: u8,
    /// The addresses to which the platform forwards the connections of clients.
    callers: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Fleet<'_> {
    /// Adds a machine to a zone at an address that none had before.
    fn add(&mut self, zone: usize) -> Result<(), String> {
        let ip = format!("{}.{}", self.net, self.next_host);
        self.next_host += 1;
        self.started[zone] += 1;
        let number = self.started[zone];
        let gateway = Gateway::start_machine(self.folder, &ip, ZONES[zone], number, self.store)
            .map_err(|error| error.to_string())?;
        self.running[zone].push((number, gateway));
        self.record.line(&format!("machine edge-{}-{number} is added", ZONES[zone]));
        Ok(())
    }

    /// Kills the oldest machine of a zone, which never comes back.
    fn lose(&mut self, zone: usize) {
        let (number, gateway) = self.running[zone].remove(0);
        self.callers.lock().unwrap().retain(|address| *address != gateway.callers);
        drop(gateway);
        self.record.line(&format!("machine edge-{}-{number} is lost", ZONES[zone]));
    }

    /// Waits until all machines are ready, and lets clients reach them.
    fn wait_until_ready(&mut self) -> Result<(), String> {
        for (_, gateway) in self.running.iter_mut().flatten() {
            gateway.wait_until_ready()?;
        }
        let addresses = self.running.iter().flatten().map(|(_, gateway)| gateway.callers).collect();
        *self.callers.lock().unwrap() = addresses;
        Ok(())
    }
}

/// A request of a client.
struct Sent {
    at_s: f64,
    is_served: bool,
    status: u16,
}

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
    let runs = Runs::default();
    let mut engines = Vec::new();
    for number in 0..ENGINE_COUNT {
        let id = format!("i-e{number}");
        let at = address(201 + number, 8080);
        engines.push(Engine::start(&id, at, &runs, &record).map_err(failed)?);
        store.write("keyed.servers", &id, engine_entry(at).as_bytes());
    }
    store.write("keyed.op", "config", config().as_bytes());
    let mut fleet = Fleet {
        folder,
        net,
        store: store_address,
        record: Arc::clone(&record),
        running: Default::default(),
        started: [0; 4],
        next_host: 10,
        callers: Arc::default(),
    };
    for (zone, count) in MACHINES.iter().enumerate() {
        for _ in 0..*count {
            fleet.add(zone)?;
        }
    }
    fleet.wait_until_ready()?;

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let has_ended = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&fleet.callers, &sent, &has_ended, &record);
    std::thread::sleep(CALM_TIME);
    for zone in losses() {
        replace_oldest(&mut fleet, zone, has_trouble)?;
        std::thread::sleep(LOSS_INTERVAL);
    }
    let fault_s = record.now_s();
    record.line("the final fault follows");
    replace_oldest(&mut fleet, 0, has_trouble)?;
    let back_s = record.now_s();
    record.line("all machines are back");
    std::thread::sleep(Duration::from_secs_f64(RECOVERY_TIME_S) + JUDGED_TIME);
    has_ended.store(true, Ordering::SeqCst);
    clients.join().map_err(|_| "the clients failed".to_owned())?;
    let is_running = fleet.running.iter_mut().flatten().all(|(_, gateway)| gateway.is_running());
    if !is_running {
        return Err("a gateway has ended".to_owned());
    }

    let sent = sent.lock().unwrap();
    let judge = |from_s: f64, to_s: f64| {
        let judged: Vec<_> = sent.iter().filter(|s| s.at_s >= from_s && s.at_s < to_s).collect();
        let served = judged.iter().filter(|s| s.is_served).count();
        let refused = judged.iter().filter(|s| s.status == 503).count();
        (judged.len(), served, refused)
    };
    let before = judge(0.0, fault_s);
    let after = judge(back_s + RECOVERY_TIME_S, f64::MAX);
    record.result(&format!(
        "machines started: {:?}, of these lost: {:?}",
        fleet.started,
        [0, 1, 2, 3].map(|zone| usize::from(fleet.started[zone]) - fleet.running[zone].len())
    ));
    record.result(&format!(
        "before the final fault: {} requests, {} served, {} refused with 503",
        before.0, before.1, before.2
    ));
    record.result(&format!(
        "later than {RECOVERY_TIME_S} s after the machines are back: {} requests, {} served, {} \
         refused with 503",
        after.0, after.1, after.2
    ));
    if before.0 == 0 || after.0 == 0 || before.1 * 4 < before.0 {
        return Err("too little was served before the final fault".to_owned());
    }
    Ok(after.1 * 4 >= after.0)
}

/// Returns the zones of the losses before the last one, in turn.
fn losses() -> Vec<usize> {
    let mut left = LOST;
    left[0] -= 1;
    let mut zones = Vec::new();
    while left.iter().any(|count| *count > 0) {
        for (zone, count) in left.iter_mut().enumerate().filter(|(_, count)| **count > 0) {
            *count -= 1;
            zones.push(zone);
        }
    }
    zones
}

/// Loses the oldest machine of a zone and adds another one, if there is to be trouble.
fn replace_oldest(fleet: &mut Fleet, zone: usize, has_trouble: bool) -> Result<(), String> {
    if !has_trouble {
        return Ok(());
    }
    fleet.lose(zone);
    fleet.add(zone)?;
    fleet.wait_until_ready()
}

/// Sends requests to the machines that clients can reach until `has_ended`.
fn start_clients(
    callers: &Arc<Mutex<Vec<SocketAddr>>>,
    sent: &Arc<Mutex<Vec<Sent>>>,
    has_ended: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> std::thread::JoinHandle<()> {
    let (callers, sent) = (Arc::clone(callers), Arc::clone(sent));
    let (has_ended, record) = (Arc::clone(has_ended), Arc::clone(record));
    std::thread::spawn(move || {
        let in_progress = Arc::new(AtomicU64::new(0));
        let mut number = 0_u64;
        while !has_ended.load(Ordering::SeqCst) {
            std::thread::sleep(REQUEST_INTERVAL);
            number += 1;
            let gateway = {
                let callers = callers.lock().unwrap();
                callers.get(number as usize % callers.len().max(1)).copied()
            };
            let Some(gateway) = gateway else {
                continue;
            };
            let (sent, in_progress) = (Arc::clone(&sent), Arc::clone(&in_progress));
            let record = Arc::clone(&record);
            in_progress.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let id = format!("{:016x}", 0x5c00_0000_0000_0000_u64 + number);
                let at_s = record.now_s();
                record.line(&format!("client sends {id}"));
                let answer = send(gateway, &request(&id, number), PATIENCE);
                record.line(&format!(
                    "client got {id}: status {}, {} events, whole: {}",
                    answer.status, answer.events, answer.is_whole
                ));
                let is_served = answer.status == 200 && answer.is_signed && answer.is_whole;
                sent.lock().unwrap().push(Sent { at_s, is_served, status: answer.status });
                in_progress.fetch_sub(1, Ordering::SeqCst);
            });
        }
        for _ in 0..100 {
            if in_progress.load(Ordering::SeqCst) == 0 {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    })
}

fn request(id: &str, number: u64) -> String {
    format!(
        "POST /chat/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\n\
         Prefix-Hash: 5c1e07a2:119,{number:x}:707\r\nDeadline-Ms: 12000\r\n\
         Authorization: Token key-a\r\nContent-Length: 4\r\n\r\nbody"
    )
}

fn engine_entry(address: SocketAddr) -> String {
    format!(
        "{{\"backend\":\"chat-llm\",\"address\":\"{address}\",\"zone\":\"plateau\",\
         \"version\":\"v1\",\"batchSlots\":64,\"phase\":\"ready\",\"warmupLeftMs\":0,\
         \"phaseName\":\"unified\",\"modelList\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\
         \"sequence\":1,\"born\":1750000000000}}"
    )
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-chat\",\"hostname\":\"desk.example\",\
         \"pathPrefix\":\"/chat/\",\"routeType\":\"streaming\",\"timeoutMs\":12000,\
         \"targetLatencyMs\":300,\"priorityClass\":0,\"backend\":\"chat-llm\",\"maxAttempts\":1,\
         \"public\":false,\"sessionAffinity\":true,\"streamResume\":false,\"itlTargetMs\":200}}],\
         \"backends\":[{{\"name\":\"chat-llm\",\"healthPath\":\"/healthz\",\"maxConnections\":360,\
         \"protocol\":\"h1\",\"tlsEnabled\":false,\"runtime\":{{\"batchSlots\":64,\
         \"kvCapacity\":475241,\"kvTokenBytes\":163840,\"bandwidthMbps\":740000.0,\
         \"interval\":{TOKENS_PER_EVENT},\"most\":12,\"pinTtlMs\":4000.0,\"holdMs\":2000.0,\
         \"handleTtlS\":5.0,\"modelList\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"workshop\",\"apiKeys\":[\"key-a\"],\
         \"priorityClass\":1,\"reserved\":{RESERVED_TOKENS}}}]}}"
    )
}
