//! A backend server, which each machine reaches at a port of its own.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_head, read_request_body};
use crate::log_service::{LogService, SERVERS_TOPIC};

/// A request that arrived at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request id.
    pub request_id: String,
    /// The machine from which it came.
    pub machine: usize,
    /// When it arrived.
    pub at: Instant,
}

/// Answers a request that arrived from a machine.
pub type Handler = Arc<dyn Fn(&mut TcpStream, &Message, usize) -> io::Result<()> + Send + Sync>;

/// A backend server.
#[derive(Clone)]
pub struct Server {
    /// The id.
    pub id: String,
    /// The service.
    pub pool: String,
    /// The address in the entry of the server, which no machine uses.
    pub listed_address: SocketAddr,
    path_addresses: Vec<SocketAddr>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    handler: Handler,
}

impl Server {
    /// Starts a server that `machine_count` machines reach.
    pub fn start(
        id: &str,
        pool: &str,
        machine_count: usize,
        handler: Handler,
    ) -> Result<Self, String> {
        let reserve = || TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string());
        let listed = reserve()?;
        let listed_address = listed.local_addr().map_err(|error| error.to_string())?;
        let mut server = Self {
            id: id.to_owned(),
            pool: pool.to_owned(),
            listed_address,
            path_addresses: Vec::new(),
            arrivals: Arc::default(),
            handler,
        };
        for _ in 0..machine_count {
            let listener = reserve()?;
            let address = listener.local_addr().map_err(|error| error.to_string())?;
            server.path_addresses.push(address);
            server.accept_on(server.path_addresses.len() - 1, listener);
        }
        // Keeps the port in use, so that nothing else answers at it.
        thread::spawn(move || {
            let _listed = listed;
            loop {
                thread::sleep(Duration::from_secs(60));
            }
        });
        Ok(server)
    }

    /// Returns the text by which a machine sees the address of the server.
    pub fn replacement(&self, machine: usize) -> (String, String) {
        (self.listed_address.to_string(), self.path_addresses[machine].to_string())
    }

    /// Writes the entry of the server to the log service; returns its offset.
    pub fn write_entry(&self, log: &LogService, zone: &str, phase: &str, sequence: u64) -> u64 {
        let entry = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"batchSlots\":64,\"phase\":\"{phase}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\
             \"born\":1796000000000}}",
            self.pool, self.listed_address
        );
        log.write(SERVERS_TOPIC, &self.id, &entry)
    }

    /// Returns the requests that arrived, whether they ran or not.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    fn accept_on(&self, machine: usize, listener: TcpListener) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream, machine));
            }
        });
    }

    fn serve(&self, stream: TcpStream, machine: usize) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_request_body(&mut reader, &mut request).is_err() {
                return;
            }
            let request_id = request.header("request-id").unwrap_or("-").to_owned();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let head = response_head(421, &request_id, &self.id, &[], Some(0));
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            lock(&self.arrivals).push(Arrival { request_id, machine, at: Instant::now() });
            if (self.handler)(&mut writer, &request, machine).is_err() {
                return;
            }
        }
    }
}

/// Builds the head of a response; a signature is added to all that ran. Without a length the body is
/// chunked.
pub fn response_head(
    status: u16,
    request_id: &str,
    server_id: &str,
    headers: &[(&str, &str)],
    length: Option<usize>,
) -> String {
    let mut head = format!("HTTP/1.1 {status} -\r\nRequest-Id: {request_id}\r\n");
    let is_run = status != 421 && !headers.iter().any(|(name, _)| *name == "Not-Executed");
    if is_run {
        head += &format!("Upstream-Signature: signed-by-{server_id}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    match length {
        Some(length) => head += &format!("Content-Length: {length}\r\n\r\n"),
        None => head += "Transfer-Encoding: chunked\r\n\r\n",
    }
    head
}

/// Writes one chunk of a chunked body.
pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
