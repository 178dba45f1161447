//! Stand-ins of the platform that the scripts share: the log service, a backend server with streams, a
//! client and gateway processes. Standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One request as a stand-in reads it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers, body })
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                i += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(data: &[u8]) -> String {
    const CODE: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let bytes = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for i in 0..4 {
            let code = CODE[(number >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= chunk.len() { code } else { '=' });
        }
    }
    text
}

/// The records of one topic: key and value, `None` where the key is dropped.
#[derive(Default)]
struct Topic {
    records: Vec<(String, Option<Vec<u8>>)>,
}

/// The platform's log service, with one partition a topic; it loses and expires nothing.
#[derive(Default)]
pub struct Log {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

impl Log {
    /// Starts the service on a loopback address.
    pub fn start(ip: &str) -> (Arc<Self>, SocketAddr) {
        let log = Arc::new(Self::default());
        let listener = TcpListener::bind((ip, 0)).expect("no port for the log service");
        let address = listener.local_addr().expect("listener without an address");
        let served = Arc::clone(&log);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = Arc::clone(&served);
                thread::spawn(move || log.serve(stream));
            }
        });
        (log, address)
    }

    /// Writes a record as the operator or a server does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = &mut topics.entry(topic.to_owned()).or_default().records;
        records.push((key.to_owned(), Some(value.as_bytes().to_vec())));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\nContent-Type: application/json\r\n\r\n",
                body.len()
            );
            if writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let name = query(&request.target, "topic").unwrap_or_default().to_owned();
        let number = |field| query(&request.target, field).and_then(|v| v.parse::<u64>().ok());
        match request.target.split('?').next().unwrap_or_default() {
            "/api/log-append" => self.append(&name, number("at"), &request.body),
            "/api/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                (200, self.read(&name, number("from").unwrap_or(0) as usize, wait))
            }
            "/api/log-newest" => {
                let after = query(&request.target, "after").map(percent_decode);
                (200, self.newest(&name, after).into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, name: &str, at: Option<u64>, body: &[u8]) -> (u16, Vec<u8>) {
        thread::sleep(Duration::from_millis(4));
        let mut topics = self.topics.lock().unwrap();
        let records = &mut topics.entry(name.to_owned()).or_default().records;
        let end = records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return (412, format!("{{\"endOffset\":{end}}}").into_bytes());
        }
        let mut rest = body;
        while rest.len() > 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            let value = (record.len() > key_end).then(|| record[key_end..].to_vec());
            records.push((key, value));
            rest = &rest[4 + length..];
        }
        let answer = format!("{{\"position\":{end},\"endOffset\":{}}}", records.len());
        self.changed.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, name: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = &topics.entry(name.to_owned()).or_default().records;
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let value = value.as_deref().unwrap_or_default();
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                    if body.len() > 200_000 {
                        break;
                    }
                }
                return body;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, after: Option<String>) -> String {
        let mut topics = self.topics.lock().unwrap();
        let records = &topics.entry(name.to_owned()).or_default().records;
        let mut newest = BTreeMap::new();
        for (position, (key, value)) in records.iter().enumerate() {
            match value {
                Some(value) => drop(newest.insert(key, (position, value))),
                None => drop(newest.remove(key)),
            }
        }
        let left: Vec<_> =
            newest.into_iter().filter(|(key, _)| after.as_ref().is_none_or(|a| *key > a)).collect();
        let entries = left.iter().take(500).map(|(key, (position, value))| {
            let data = base64(value);
            format!("{{\"key\":\"{key}\",\"data\":\"{data}\",\"position\":{position}}}")
        });
        let entries = entries.collect::<Vec<_>>().join(",");
        let (end, has_more) = (records.len(), left.len() > 500);
        format!("{{\"entries\":[{entries}],\"hasMore\":{has_more},\"endOffset\":{end}}}")
    }
}

/// Starts a model server that answers each request with a stream of `event_count` events; returns its
/// address and the number of requests that it has run.
pub fn start_engine(ip: &str, id: &'static str, event_count: u32) -> (SocketAddr, Arc<AtomicU64>) {
    start_paced_engine(ip, id, event_count, Duration::from_millis(5))
}

/// Starts a model server with a time between two events. A request with `Last-Event-Id` gets the events
/// after that one.
pub fn start_paced_engine(
    ip: &str,
    id: &'static str,
    event_count: u32,
    pace: Duration,
) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind((ip, 0)).expect("no port for a server");
    let address = listener.local_addr().expect("listener without an address");
    let runs = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&runs);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counted = Arc::clone(&counted);
            thread::spawn(move || serve_engine(stream, id, event_count, pace, &counted));
        }
    });
    (address, runs)
}

fn serve_engine(stream: TcpStream, id: &str, event_count: u32, pace: Duration, runs: &AtomicU64) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let expected = request.headers.get("expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let answer = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        runs.fetch_add(1, Ordering::Relaxed);
        let request_id = request.headers.get("request-id").cloned().unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nUpstream-Signature: {id}.{request_id}\r\n\
             Weight-Versions: 1\r\nUpstream-Load: 1,0,64\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        let last: u32 =
            request.headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for event in last + 1..=event_count {
            let text = format!("id: {event}\ndata: piece {event} of {request_id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            thread::sleep(pace);
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// How a request ended at the client: the status, 0 if there was none; and whether the answer was whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Answer {
    pub status: u16,
    pub is_whole: bool,
}

/// Sends one streaming request on a new connection and reads the answer to its end.
pub fn send_stream(address: SocketAddr, id: &str, key: &str, event_count: u32) -> Answer {
    try_stream(address, id, key, event_count).unwrap_or(Answer { status: 0, is_whole: false })
}

fn try_stream(address: SocketAddr, id: &str, key: &str, event_count: u32) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let body = "notes of the inspector";
    let head = format!(
        "POST /review/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,{id}:660\r\nDeadline-Ms: 3000\r\n\
         Authorization: Token {key}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let is_read = stream.read_to_end(&mut answer).is_ok();
    let text = String::from_utf8_lossy(&answer);
    let status: u16 = text.split_whitespace().nth(1)?.parse().ok()?;
    let is_whole = is_read
        && text.contains(&format!("piece {event_count} of {id}"))
        && text.ends_with("0\r\n\r\n");
    Some(Answer { status, is_whole })
}

/// A gateway, started with the command of the deploy file on a loopback address of its own.
pub struct Gateway {
    pub name: String,
    pub ip: String,
    pub child: Child,
}

impl Gateway {
    pub fn start(root: &Path, folder: &Path, name: &str, ip: &str, zone: &str, log: SocketAddr) -> Self {
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "nodeName={name}\nrole=gateway\ninstanceClass=edge\nserves=edge\nip={ip}\nzone={zone}\n\
             region=dakar\nzones.{zone}=dakar\nlistenersMap.http={ip}:8227\n\
             listenersMap.ready={ip}:8220\nportRange=7340,7355\nlimits.memoryMb=110\n\
             limits.maxFds=4100\nlimits.bandwidthMbps=1000.0\nheartbeatMs=1200\n\
             bounds.contactMs=3000\nbounds.drainTimeoutMs=2000\nbounds.gracePeriodS=8\n\
             bounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\n\
             bounds.budgetSlack=54\nbounds.recoveryS=12\nbounds.cacheWindowS=9.6\n\
             provider.address={log}\nprovider.form=log\n"
        );
        std::fs::write(&settings, text).expect("settings file not written");
        let output = File::create(folder.join(format!("{name}.log"))).expect("no log file");
        let child = Command::new(root.join("target/release/sassafrashoist"))
            .arg("gateway")
            .current_dir(root)
            .env_clear()
            .env("SASSAFRASHOIST_SETTINGS", &settings)
            .stdout(Stdio::from(output.try_clone().expect("no log file")))
            .stderr(Stdio::from(output))
            .spawn()
            .expect("gateway not started");
        Self { name: name.to_owned(), ip: ip.to_owned(), child }
    }

    pub fn http(&self) -> SocketAddr {
        format!("{}:8227", self.ip).parse().expect("address")
    }

    /// Returns whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let address = format!("{}:8220", self.ip).parse().expect("address");
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let question = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(question.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The folder of settings and logs of one run; removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("no temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
