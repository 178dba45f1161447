//! Callers.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{read_chunk, read_head};

/// The time in which a connection must open.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: &'static str,
    /// The path and query.
    pub target: String,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// How long the caller waits for the next bytes of the answer.
    pub patience: Duration,
    /// When the connection of the caller breaks off.
    pub leaves_after: Option<Duration>,
}

impl Request {
    /// Creates a plain GET.
    pub fn get(target: &str) -> Self {
        Self {
            method: "GET",
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            patience: Duration::from_secs(5),
            leaves_after: None,
        }
    }
}

impl Request {
    /// Returns the bytes that are sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        if self.method != "GET" {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// What a caller received.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The status; 0 if there was no answer.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body has its full length.
    pub is_whole: bool,
    /// Whether the caller left before the end.
    pub has_left: bool,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn send(address: SocketAddr, request: &Request) -> Answer {
    let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_LIMIT) else {
        return Answer::default();
    };
    send_on(stream, request)
}

/// Sends a request on an open connection and reads the answer.
pub fn send_on(mut stream: TcpStream, request: &Request) -> Answer {
    let mut answer = Answer::default();
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(request.patience));
    let bytes = request.to_bytes();
    if stream.write_all(&bytes).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let sent_at = Instant::now();
    let message = match read_head(&mut reader) {
        Ok(Some(message)) => message,
        Ok(None) => return answer,
        Err(_) => {
            answer.has_left = sent_at.elapsed() >= request.patience;
            return answer;
        }
    };
    answer.status = message.status();
    answer.headers = message.headers;
    let leaves_at = request.leaves_after.map(|time| sent_at + time);
    read_body(&mut reader, &mut answer, leaves_at);
    answer
}

fn read_body(reader: &mut BufReader<TcpStream>, answer: &mut Answer, leaves_at: Option<Instant>) {
    if answer.header("transfer-encoding").is_some() {
        loop {
            if leaves_at.is_some_and(|at| Instant::now() >= at) {
                answer.has_left = true;
                return;
            }
            match read_chunk(reader) {
                Ok(Some(chunk)) => answer.body.extend_from_slice(&chunk),
                Ok(None) => {
                    answer.is_whole = true;
                    return;
                }
                Err(error) => {
                    answer.has_left = is_timeout(&error);
                    return;
                }
            }
        }
    }
    let length: Option<usize> = answer.header("content-length").and_then(|n| n.parse().ok());
    let mut chunk = vec![0; 65_536];
    while length.is_none_or(|length| answer.body.len() < length) {
        match reader.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => answer.body.extend_from_slice(&chunk[..count]),
            Err(error) => {
                answer.has_left = is_timeout(&error);
                return;
            }
        }
    }
    answer.is_whole = length.is_none_or(|length| answer.body.len() == length);
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
