//! The platform's log service: keyed topics with one partition, conditional appends and long reads.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_head, read_request_body};

/// The topic of the operator's configuration.
pub const CONFIG_TOPIC: &str = "keyed.op";
/// The topic of the servers' entries.
pub const SERVERS_TOPIC: &str = "keyed.servers";

/// The time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// The most entries on a page of the newest records.
const MAX_PAGE_ENTRIES: usize = 500;

type Topics = HashMap<String, Vec<Vec<u8>>>;

#[derive(Debug, Default)]
struct State {
    topics: Topics,
    era: u64,
    is_down: bool,
}

/// A copy of all records.
#[derive(Debug, Clone)]
pub struct Copy(Topics);

/// The log service.
#[derive(Debug, Clone, Default)]
pub struct LogService {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl LogService {
    /// Listens for one machine, which sees the first texts of `replacements` in the servers' entries
    /// as the second ones; returns the address.
    pub fn listen(&self, replacements: Vec<(String, String)>) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let (service, replacements) = (self.clone(), Arc::new(replacements));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (service, replacements) = (service.clone(), Arc::clone(&replacements));
                thread::spawn(move || service.serve(stream, &replacements));
            }
        });
        Ok(address)
    }

    /// Appends a record of the operator or of a server; an empty value drops the key. Returns its
    /// offset.
    pub fn write(&self, topic: &str, key: &str, value: &str) -> u64 {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.lock();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push(record);
        let offset = records.len() as u64 - 1;
        drop(state);
        self.shared.1.notify_all();
        offset
    }

    /// Takes a copy of all records.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().topics.clone())
    }

    /// Takes the service away: each call gets 503, and nothing is done.
    pub fn take_away(&self) {
        self.lock().is_down = true;
        self.shared.1.notify_all();
    }

    /// Brings the service back from a copy. What the operator and the servers wrote has to be written
    /// again by the case.
    pub fn bring_back(&self, copy: &Copy) {
        let mut state = self.lock();
        state.topics = copy.0.clone();
        state.era += 1;
        state.is_down = false;
        drop(state);
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream, replacements: &[(String, String)]) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_request_body(&mut reader, &mut request).is_err() {
                return;
            }
            let (status, body) = self.respond(&request, replacements);
            let era = self.lock().era;
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Length: {}\r\nStore-Era: {era}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, replacements: &[(String, String)]) -> (u16, Vec<u8>) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_percents(value)))
            .collect();
        let topic = query.get("topic").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok());
        if self.lock().is_down {
            return (503, Vec::new());
        }
        match path {
            "/api/log-append" => {
                let response = self.append(&topic, number("at"), &request.body);
                thread::sleep(APPEND_TIME);
                response
            }
            "/api/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let max_bytes = number("maxSize").unwrap_or(1_024) as usize * 1_024;
                let from = number("from").unwrap_or(0);
                self.read(&topic, from, max_bytes, wait, replacements)
            }
            "/api/log-newest" => {
                let after = query.get("after").cloned().unwrap_or_default();
                self.newest(&topic, &after, replacements)
            }
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut state = self.lock();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let position = records.len() as u64;
        if at.is_some_and(|at| at != position) {
            return (412, format!("{{\"endOffset\":{position}}}").into_bytes());
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + size {
                return (400, Vec::new());
            }
            records.push(rest[4..4 + size].to_vec());
            rest = &rest[4 + size..];
        }
        let end = records.len() as u64;
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"position\":{position},\"endOffset\":{end}}}").into_bytes())
    }

    fn read(
        &self,
        topic: &str,
        from: u64,
        max_bytes: usize,
        wait: Duration,
        replacements: &[(String, String)],
    ) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.is_down {
                return (503, Vec::new());
            }
            let records = state.topics.entry(topic.to_owned()).or_default();
            let end = records.len() as u64;
            if from > end {
                return (410, b"{\"startOffset\":0}".to_vec());
            }
            let now = Instant::now();
            if from < end || now >= deadline {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                let mut next = from;
                let mut size = 0;
                for record in &records[from as usize..] {
                    size += record.len() + 4;
                    if next > from && size > max_bytes {
                        break;
                    }
                    let record = replace(topic, record, replacements);
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(&record);
                    next += 1;
                }
                return (200, body);
            }
            let (guard, _) = self
                .shared
                .1
                .wait_timeout(state, deadline - now)
                .unwrap_or_else(PoisonError::into_inner);
            state = guard;
        }
    }

    fn newest(
        &self,
        topic: &str,
        after: &str,
        replacements: &[(String, String)],
    ) -> (u16, Vec<u8>) {
        let mut state = self.lock();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let end = records.len() as u64;
        let mut newest: BTreeMap<String, (u64, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            if record.len() == key_end {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset as u64, record[key_end..].to_vec()));
            }
        }
        let rest: Vec<_> = newest.into_iter().filter(|(key, _)| key.as_str() > after).collect();
        let entries: Vec<String> = rest
            .iter()
            .take(MAX_PAGE_ENTRIES)
            .map(|(key, (offset, value))| {
                let data = encode_base64(&replace(topic, value, replacements));
                format!("{{\"key\":\"{key}\",\"data\":\"{data}\",\"position\":{offset}}}")
            })
            .collect();
        let has_more = rest.len() > MAX_PAGE_ENTRIES;
        let body = format!(
            "{{\"entries\":[{}],\"hasMore\":{has_more},\"endOffset\":{end}}}",
            entries.join(",")
        );
        (200, body.into_bytes())
    }
}

/// Returns a record as one machine sees it.
fn replace(topic: &str, bytes: &[u8], replacements: &[(String, String)]) -> Vec<u8> {
    if topic != SERVERS_TOPIC {
        return bytes.to_vec();
    }
    let text = String::from_utf8_lossy(bytes).into_owned();
    replacements.iter().fold(text, |text, (from, to)| text.replace(from, to)).into_bytes()
}

fn decode_percents(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).filter(|_| *first == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(group >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
