//! The answers of some streams are lost after servers have run them. An account must not get more
//! than it has paid for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{send, Answer};
use crate::engine::{Engine, Runs, TOKENS_PER_EVENT};
use crate::gateways::Gateway;
use crate::record::Record;
use crate::store::Store;

const GATEWAY_COUNT: u8 = 3;
const ENGINE_COUNT: u8 = 5;
const RESERVED_TOKENS: u64 = 500_000;
const PROMPT_TOKENS: u64 = 826;
const OUTPUT_TOKENS: u64 = 290;
const REQUESTS_PER_S: u64 = 32;
const SEND_TIME: Duration = Duration::from_secs(34);
/// The largest dose of `answer_lost` of the site: 0.6 of the servers lose 0.3 of their answers for 6 s.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const TROUBLE_TIME: Duration = Duration::from_secs(6);
const LOSING_ENGINES: usize = 3;
const LOST_PER_MILLE: u64 = 300;
/// Clients give a stream up after two seconds without an event.
const PATIENCE: Duration = Duration::from_secs(2);

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
        let at = address(100 + number, 8080);
        engines.push(Engine::start(&id, at, &runs, &record).map_err(failed)?);
        let entry = format!(
            "{{\"backend\":\"chat-llm\",\"address\":\"{at}\",\"zone\":\"plateau\",\
             \"version\":\"v1\",\"batchSlots\":64,\"phase\":\"ready\",\"warmupLeftMs\":0,\
             \"phaseName\":\"unified\",\"modelList\":[{{\"name\":\"m\",\"version\":1,\
             \"loras\":[]}}],\"sequence\":1,\"born\":1750000000000}}"
        );
        store.write("keyed.servers", &id, entry.as_bytes());
    }
    store.write("keyed.op", "config", config().as_bytes());
    let mut gateways = Vec::new();
    for number in 0..GATEWAY_COUNT {
        gateways.push(Gateway::start(folder, net, number, store_address).map_err(failed)?);
    }
    for gateway in &mut gateways {
        gateway.wait_until_ready()?;
    }
    std::thread::sleep(Duration::from_secs(1));
    record.line("gateways are ready");

    let callers: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let answers: Arc<Mutex<BTreeMap<String, Answer>>> = Arc::default();
    let in_progress = Arc::new(AtomicU64::new(0));
    let (began_at, mut is_losing, mut was_losing) = (Instant::now(), false, false);
    let mut number = 0;
    while began_at.elapsed() < SEND_TIME {
        let elapsed = began_at.elapsed();
        let is_time = elapsed >= TROUBLE_AT && elapsed < TROUBLE_AT + TROUBLE_TIME;
        if has_trouble && is_time != is_losing {
            is_losing = is_time;
            was_losing = true;
            let lost = if is_losing { LOST_PER_MILLE } else { 0 };
            engines.iter().take(LOSING_ENGINES).for_each(|engine| {
                engine.lost_per_mille.store(lost, Ordering::SeqCst);
            });
            record.line(&format!(
                "{LOSING_ENGINES} of {ENGINE_COUNT} servers lose {lost} of 1000 answers"
            ));
        }
        let id = format!("{:016x}", 0x5a00_0000_0000_0000_u64 + number);
        let gateway = callers[number as usize % callers.len()];
        let (answers, in_progress) = (Arc::clone(&answers), Arc::clone(&in_progress));
        let record = Arc::clone(&record);
        in_progress.fetch_add(1, Ordering::SeqCst);
        std::thread::spawn(move || {
            let request = format!(
                "POST /chat/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
                 Token-Usage: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\n\
                 Prefix-Hash: 5c1e07a2:119,{number:x}:707\r\nDeadline-Ms: 12000\r\n\
                 Authorization: Token key-a\r\nContent-Length: 4\r\n\r\nbody"
            );
            record.line(&format!("client sends {id}"));
            let answer = send(gateway, &request, PATIENCE);
            record.line(&format!(
                "client got {id}: status {}, {} events, whole: {}",
                answer.status, answer.events, answer.is_whole
            ));
            answers.lock().unwrap().insert(id, answer);
            in_progress.fetch_sub(1, Ordering::SeqCst);
        });
        number += 1;
        let next_at = began_at + Duration::from_millis(1_000 * number / REQUESTS_PER_S);
        std::thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    let give_up_at = Instant::now() + Duration::from_secs(15);
    while in_progress.load(Ordering::SeqCst) > 0 && Instant::now() < give_up_at {
        std::thread::sleep(Duration::from_millis(50));
    }
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err("a gateway has ended".to_owned());
    }
    let answers = answers.lock().unwrap();
    let runs = runs.lock().unwrap();
    let refused = answers.values().filter(|answer| answer.status == 402).count();
    if refused == 0 || (has_trouble && !was_losing) {
        return Err("the account was not used up".to_owned());
    }
    let lost = runs.values().filter(|run| run.is_answer_lost).count();
    let read_tokens: u64 = runs.values().map(|run| run.prompt_tokens).sum();
    let delivered: u64 = answers.values().map(|a| a.events * TOKENS_PER_EVENT).sum();
    let total = read_tokens + delivered;
    record.result(&format!(
        "{number} requests sent, {} run, of these {lost} with lost answers; {refused} refused with 402",
        runs.len()
    ));
    record.result(&format!(
        "tokens: reserved {RESERVED_TOKENS}, got {total} ({read_tokens} in, {delivered} out)"
    ));
    Ok(total <= RESERVED_TOKENS)
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
