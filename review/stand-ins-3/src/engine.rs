//! Model servers that stream their answers.

use std::collections::BTreeMap;
use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{read_request, serve, write_response, Request};
use crate::record::Record;

/// The tokens of one event.
pub const TOKENS_PER_EVENT: u64 = 5;
/// The time from the arrival of a request to its first token.
const TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(60);
const EVENT_INTERVAL: Duration = Duration::from_millis(8);

/// A request that a server has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub prompt_tokens: u64,
    pub is_answer_lost: bool,
}

/// The runs of all servers, by the id of the request.
pub type Runs = Arc<Mutex<BTreeMap<String, Run>>>;

/// A model server.
pub struct Engine {
    id: String,
    running: AtomicUsize,
    /// How many in a thousand answers are lost.
    pub lost_per_mille: AtomicU64,
    served: AtomicU64,
    runs: Runs,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let engine = Arc::new(Self {
            id: id.to_owned(),
            running: AtomicUsize::new(0),
            lost_per_mille: AtomicU64::new(0),
            served: AtomicU64::new(0),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        let listener = TcpListener::bind(address)?;
        let shared = Arc::clone(&engine);
        serve(listener, move |stream| {
            let _ = shared.serve_connection(stream);
        });
        Ok(engine)
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            if request.path() == "/healthz" {
                let headers = [("Upstream-Instance", self.id.as_str())];
                write_response(&mut writer, "200 OK", &headers, b"ok")?;
                continue;
            }
            if request.header("Expect-Instance").is_some_and(|id| id != self.id) {
                let headers = [("Upstream-Instance", self.id.as_str())];
                write_response(&mut writer, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let result = self.run(&request, &mut writer);
            self.running.fetch_sub(1, Ordering::SeqCst);
            result?;
        }
    }

    fn run(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let usage = request.header("Token-Usage").unwrap_or_default();
        let (prompt, output) = usage.split_once(',').unwrap_or(("0", "0"));
        let prompt_tokens: u64 = prompt.trim().parse().unwrap_or(0);
        let output_tokens: u64 = output.trim().parse().unwrap_or(0);
        std::thread::sleep(TIME_TO_FIRST_TOKEN);
        if has_ended(writer)? {
            self.record.line(&format!("{} drops {id} before its first token", self.id));
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let turn = self.served.fetch_add(1, Ordering::SeqCst);
        // Spreads the lost answers evenly.
        let lost_per_mille = self.lost_per_mille.load(Ordering::SeqCst);
        let is_answer_lost = turn * lost_per_mille / 1_000 != (turn + 1) * lost_per_mille / 1_000;
        self.runs.lock().unwrap().insert(id.clone(), Run { prompt_tokens, is_answer_lost });
        let lost = if is_answer_lost { ", its answer is lost" } else { "" };
        self.record.line(&format!("{} runs {id}, {prompt_tokens} tokens in{lost}", self.id));
        if is_answer_lost {
            writer.set_read_timeout(Some(Duration::from_secs(20)))?;
            while !has_ended(writer)? {
                std::thread::sleep(Duration::from_millis(5));
            }
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: {}.{turn:x}\r\n\
             Upstream-Load: {},0,64\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.running.load(Ordering::SeqCst),
        );
        writer.write_all(head.as_bytes())?;
        for number in 1..=output_tokens.div_ceil(TOKENS_PER_EVENT) {
            let event = format!("id: {number}\ndata: {id} part {number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(EVENT_INTERVAL);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Returns whether the other side has closed the connection, or its writing side.
fn has_ended(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(count) => Ok(count == 0),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
        Err(_) => Ok(true),
    }
}
