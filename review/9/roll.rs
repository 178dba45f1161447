//! The machines are stopped and started in turn while servers of two software versions serve. The clients of the last one
//! take up the streams that it breaks off at the end of its grace period.
//!
//! `TROUBLE=0`: only the clients' connections break, and no machine is stopped. The first argument is the root
//! of the repository, the second the path of the record.

#[path = "../stand-ins-2/common.rs"]
mod common;

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{Folder, Gateway, Log, start_paced_engine};

const MACHINE_COUNT: usize = 3;
const STREAM_COUNT: usize = 24;
const EVENT_COUNT: u32 = 160;
const DEADLINE: Duration = Duration::from_millis(12_000);
const GAP: Duration = Duration::from_millis(1_300);
const BREAK_OFF: Duration = Duration::from_millis(9_400);
const PACE: Duration = Duration::from_millis(70);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const KEY: &str = "n2ctnfzs989anu6wsjnb";

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"review","hostname":"desk.example",
"pathPrefix":"/review/","routeType":"streaming","timeoutMs":12000,"targetLatencyMs":800,"priorityClass":1,
"backend":"llm","weightedBackends":[{"backend":"llm","weight":1}],"maxAttempts":2,"public":false,
"streamResume":true}],"backends":[{"name":"llm","runtime":{"batchSlots":64,"kvCapacity":475241,"interval":5}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"workshop","apiKeys":["n2ctnfzs989anu6wsjnb"],"reserved":400000000}]}"#;

/// A stream that a client reads.
struct Stream {
    reader: BufReader<TcpStream>,
    status: u16,
    /// The server that the signature names.
    server: String,
    last_event: u32,
}

/// Begins a stream, or takes one up after `resumed` = (id of the first attempt, last event).
fn begin(
    address: SocketAddr,
    id: &str,
    deadline: Duration,
    resumed: Option<(&str, u32)>,
) -> Option<Stream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let take_up = resumed
        .map(|(first, event)| format!("Resumes: {first}\r\nLast-Event-Id: {event}\r\n"))
        .unwrap_or_default();
    let body = "notes of the inspector";
    let head = format!(
        "POST /review/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 1460,600\r\nPrefix-Hash: 5c1e07a2:800,{:x}:660\r\nDeadline-Ms: {}\r\n{take_up}\
         Authorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        u64::from_str_radix(resumed.map_or(id, |(first, _)| first), 16).unwrap_or(1),
        deadline.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut server = String::from("-");
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("upstream-signature")
        {
            server = value.trim().split('.').next().unwrap_or("-").to_owned();
        }
    }
    Some(Stream { reader, status, server, last_event: resumed.map_or(0, |(_, event)| event) })
}

impl Stream {
    /// Reads up to an event; returns whether it came, in order.
    fn read_to(&mut self, event: u32) -> bool {
        while self.last_event < event {
            let mut line = String::new();
            if !self.reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
                return false;
            }
            if let Some(id) = line.trim().strip_prefix("id: ") {
                if id.parse() != Ok(self.last_event + 1) {
                    return false;
                }
                self.last_event += 1;
            }
        }
        true
    }
}

/// Writes the entry of a server about every heartbeat, as servers do.
fn write_entries(log: &Arc<Log>, id: &'static str, version: &'static str, address: SocketAddr) {
    let log = Arc::clone(log);
    let (first, others) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                r#"{{"backend":"llm","address":"{address}","zone":"plateau","version":"{version}","batchSlots":64,"phase":"ready","warmupLeftMs":0,"sequence":{sequence},"born":1700000000000}}"#
            );
            log.write("keyed.servers", id, &entry);
            let _ = first.send(());
            thread::sleep(HEARTBEAT);
        }
    });
    let _ = others.recv();
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let root = PathBuf::from(arguments.next().expect("root of the repository"));
    let mut record = File::create(arguments.next().expect("path of the record")).expect("no record");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Folder::create("review-9");
    let code = play(&mut record, &root, &folder, has_trouble);
    drop(folder);
    std::process::exit(code);
}

fn play(record: &mut File, root: &PathBuf, folder: &Folder, has_trouble: bool) -> i32 {
    let started = Instant::now();
    let mut note = |text: String| {
        let _ = writeln!(record, "{:8.3} s  {text}", started.elapsed().as_secs_f64());
    };
    let pid = std::process::id();
    let net = format!("127.{}.{}", 64 + pid % 128, 1 + pid / 128 % 250);
    let (log, log_address) = Log::start(&format!("{net}.1"));
    let servers =
        [("i-7f3a91c2", "v1"), ("i-02d9e6b4", "v1"), ("i-51c07d3e", "v2"), ("i-9b0e44a1", "v2")];
    for (id, version) in servers {
        let (address, _) = start_paced_engine(&format!("{net}.1"), id, EVENT_COUNT, PACE);
        write_entries(&log, id, version, address);
    }
    log.write("keyed.op", "config", CONFIG);
    let version_of = |server: &str| servers.iter().find(|(id, _)| *id == server).map(|(_, v)| *v);
    let start = |index: usize| {
        let (name, ip) = (format!("edge-plateau-{index}"), format!("{net}.{}", 10 + index));
        Gateway::start(root, &folder.0, &name, &ip, "plateau", log_address)
    };
    let mut machines: Vec<Gateway> = (1..=MACHINE_COUNT).map(&start).collect();
    if !machines.iter().all(Gateway::wait_until_ready) {
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    let last = machines.pop().expect("machines");
    let rolled_at = Instant::now();
    let stop = |machine: &Gateway, note: &mut dyn FnMut(String)| {
        if has_trouble {
            machine.signal("TERM");
            note(format!("{} gets SIGTERM", machine.name));
        }
    };
    stop(&machines[0], &mut note);
    thread::sleep(GAP / 2);
    let begun_at = Instant::now();
    let mut streams = Vec::new();
    for index in 0..STREAM_COUNT {
        let id = format!("9c41d07b{index:08x}");
        let Some(mut stream) = begin(last.http(), &id, DEADLINE, None) else { return 2 };
        if stream.status != 200 || !stream.read_to(1) {
            note(format!("stream {id} did not begin: {}", stream.status));
            return 2;
        }
        note(format!("stream {id} began at {} ({:?})", stream.server, version_of(&stream.server)));
        streams.push((id, stream));
    }
    thread::sleep(GAP.saturating_sub(rolled_at.elapsed()));
    stop(&machines[1], &mut note);
    thread::sleep((GAP * 2).saturating_sub(rolled_at.elapsed()));
    stop(&last, &mut note);
    if has_trouble {
        // A machine starts again when its process has ended.
        for (index, mut machine) in std::mem::take(&mut machines).into_iter().enumerate() {
            let _ = machine.child.wait();
            drop(machine);
            thread::sleep(Duration::from_millis(500));
            let machine = start(index + 1);
            if !machine.wait_until_ready() {
                return 2;
            }
            note(format!("{} is ready again", machine.name));
            machines.push(machine);
        }
    }
    // The clients read until their streams are broken off.
    let mut begun = Vec::new();
    for (id, mut stream) in streams {
        while stream.last_event < EVENT_COUNT && (has_trouble || rolled_at.elapsed() < BREAK_OFF) {
            let next = stream.last_event + 1;
            if !stream.read_to(next) {
                break;
            }
        }
        note(format!("stream {id} ends after event {}", stream.last_event));
        if stream.last_event < EVENT_COUNT {
            begun.push((id, stream.server, stream.last_event));
        }
    }
    let since = rolled_at.elapsed().as_secs_f64();
    note(format!("{} streams are broken off, {since:.3} s after the first SIGTERM", begun.len()));
    if begun.len() < 12 {
        return 2;
    }
    let left = DEADLINE.saturating_sub(begun_at.elapsed());
    let count = begun.len();
    // All clients come back at once, with the time that they have left.
    let tries: Vec<_> = begun
        .into_iter()
        .enumerate()
        .map(|(index, (first, server, event))| {
            let (address, name) = {
                let machine = &machines[index % machines.len()];
                (machine.http(), machine.name.clone())
            };
            let wanted = version_of(&server);
            let of = move |server: &str| servers.iter().find(|(id, _)| *id == server).map(|(_, v)| *v);
            thread::spawn(move || {
                let id = format!("9c41d07c{index:08x}");
                let taken_up = begin(address, &id, left, Some((&first, event)));
                let (mut status, mut server, mut goes_on) = (0, "-".to_owned(), false);
                if let Some(mut stream) = taken_up {
                    (status, server) = (stream.status, stream.server.clone());
                    goes_on = status == 200 && stream.read_to(event + 3);
                }
                let is_joined = goes_on && of(&server) != wanted;
                let id = format!("9c41d07d{index:08x}");
                let begins = begin(address, &id, DEADLINE, None)
                    .is_some_and(|mut stream| stream.status == 200 && stream.read_to(3));
                let text = format!(
                    "stream {first} taken up at {name}: {status} of {server}, goes on={goes_on}; new \
                     stream {id}: begins={begins}"
                );
                (goes_on, is_joined, begins, text)
            })
        })
        .collect();
    let (mut gone_on, mut joined, mut new_begun) = (0, 0, 0);
    for one in tries {
        let Ok((goes_on, is_joined, begins, text)) = one.join() else { return 2 };
        gone_on += usize::from(goes_on);
        joined += usize::from(is_joined);
        new_begun += usize::from(begins);
        note(text);
    }
    let summary = format!(
        "{gone_on} of {count} streams that were taken up went on ({joined} at another version), \
         {new_begun} of {count} new ones began"
    );
    note(summary.clone());
    println!("{summary}");
    i32::from(gone_on * 2 < new_begun || joined > 2)
}
