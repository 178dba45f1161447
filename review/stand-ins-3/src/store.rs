//! The platform's store: topics with conditional appends, long polling and the newest record of each
//! key. Entries of servers expire after three heartbeat intervals of silence.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_request, serve, write_response, Request};

const APPEND_LATENCY: Duration = Duration::from_millis(4);
const MAX_PAGE_KEYS: usize = 500;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

impl Topic {
    fn append(&mut self, record: &[u8]) {
        let offset = self.records.len() as u64;
        self.records.push(record.to_vec());
        let Some((key_length, rest)) = record.split_first() else {
            return;
        };
        let (key, value) = rest.split_at((*key_length as usize).min(rest.len()));
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_vec(), (offset, value.to_vec()));
        }
    }
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
}

/// The platform's store.
pub struct Store {
    state: Mutex<State>,
    appended: Condvar,
    append_turn: Mutex<()>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            appended: Condvar::new(),
            append_turn: Mutex::default(),
        });
        let listener = TcpListener::bind(address)?;
        let shared = Arc::clone(&store);
        serve(listener, move |stream| {
            let _ = shared.serve_connection(stream);
        });
        Ok(store)
    }

    /// Writes a record as the operator or a server does; an empty value drops the key. The return is
    /// the acknowledgement.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().append(&record);
        drop(state);
        self.appended.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            self.respond(&request, &mut writer)?;
            writer.flush()?;
        }
    }

    fn respond(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let json = [("Content-Type", "application/json")];
        match request.path() {
            "/api/log-append" => {
                let (status, body) = self.append(&topic, request);
                write_response(writer, status, &json, body.as_bytes())
            }
            "/api/log-read" => {
                let body = self.read(&topic, request);
                write_response(writer, "200 OK", &[], &body)
            }
            "/api/log-newest" => {
                let body = self.newest(&topic, request);
                write_response(writer, "200 OK", &json, body.as_bytes())
            }
            _ => write_response(writer, "404 Not Found", &[], b""),
        }
    }

    fn append(&self, topic: &str, request: &Request) -> (&'static str, String) {
        // A partition processes its appends one at a time.
        let _turn = self.append_turn.lock().unwrap();
        std::thread::sleep(APPEND_LATENCY);
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let end = topic.records.len() as u64;
        let at = request.query("at").and_then(|at| at.parse::<u64>().ok());
        if at.is_some_and(|at| at != end) {
            return ("412 Precondition Failed", format!("{{\"endOffset\":{end}}}"));
        }
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let (length, tail) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let (record, tail) = tail.split_at(length.min(tail.len()));
            topic.append(record);
            rest = tail;
        }
        let new_end = topic.records.len();
        drop(state);
        self.appended.notify_all();
        ("200 OK", format!("{{\"position\":{end},\"endOffset\":{new_end}}}"))
    }

    fn read(&self, topic: &str, request: &Request) -> Vec<u8> {
        let number = |name: &str| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let max_bytes = number("maxSize").unwrap_or(1_024) as usize * 1_024;
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let records = &state.topics.entry(topic.to_owned()).or_default().records;
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                let first_bytes = body.len();
                for record in records.iter().skip(from) {
                    if body.len() > first_bytes && body.len() + record.len() > max_bytes {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return body;
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, request: &Request) -> String {
        let after = decode_percent(request.query("after").unwrap_or_default());
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let rest: Vec<_> = topic.newest.iter().filter(|(key, _)| **key > after).collect();
        let entries: Vec<String> = rest
            .iter()
            .take(MAX_PAGE_KEYS)
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let data = encode_base64(value);
                format!("{{\"key\":\"{key}\",\"data\":\"{data}\",\"position\":{offset}}}")
            })
            .collect();
        format!(
            "{{\"entries\":[{}],\"hasMore\":{},\"endOffset\":{}}}",
            entries.join(","),
            rest.len() > MAX_PAGE_KEYS,
            topic.records.len()
        )
    }
}

fn decode_percent(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let (mut decoded, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let code = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    decoded
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let group = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(group >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
