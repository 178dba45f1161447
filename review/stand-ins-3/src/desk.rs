//! Plain application servers: each runs a few requests at a time, queues a few more and rejects the
//! rest. A server tells the store its state, and beats while it lives and reaches the store.

use std::io::{self, BufReader, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_request, write_response, Request};
use crate::record::Record;
use crate::store::Store;

/// The requests that a server runs at a time.
const SLOTS: usize = 2;
/// The requests that wait for a slot.
const QUEUE: usize = 2;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A request that a server has begun to run.
#[derive(Debug, Clone)]
pub struct DeskRun {
    pub request_id: String,
    pub arrived_s: f64,
    pub is_finished: bool,
}

/// An application server.
pub struct Desk {
    pub id: String,
    address: SocketAddr,
    /// How long a request takes; servers of one service differ in speed.
    work_time: Duration,
    store: Arc<Store>,
    record: Arc<Record>,
    load: Mutex<Load>,
    freed: Condvar,
    is_draining: AtomicBool,
    /// Whether the server is cut off from the store.
    pub is_cut_off: AtomicBool,
    has_left: AtomicBool,
    last_beat: Mutex<Option<Instant>>,
    connections: Mutex<Vec<TcpStream>>,
    runs: Mutex<Vec<DeskRun>>,
}

impl Desk {
    pub fn start(
        id: &str,
        address: SocketAddr,
        work_time: Duration,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let desk = Arc::new(Self {
            id: id.to_owned(),
            address,
            work_time,
            store: Arc::clone(store),
            record: Arc::clone(record),
            load: Mutex::default(),
            freed: Condvar::new(),
            is_draining: AtomicBool::new(false),
            is_cut_off: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            last_beat: Mutex::new(None),
            connections: Mutex::default(),
            runs: Mutex::default(),
        });
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        desk.write_entry();
        let accepting = Arc::clone(&desk);
        std::thread::spawn(move || accepting.accept(&listener));
        let beating = Arc::clone(&desk);
        std::thread::spawn(move || beating.beat());
        Ok(desk)
    }

    /// Reports that the server drains; returns when the store has acknowledged that.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.write_entry();
        self.record.line(&format!("the store acknowledges that {} is draining", self.id));
    }

    /// Returns the time of the record.
    pub fn now_s(&self) -> f64 {
        self.record.now_s()
    }

    /// Ends the process: the port and all connections are closed.
    pub fn leave(&self) {
        self.has_left.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("{} exits", self.id));
    }

    /// Returns the requests that the server has begun to run.
    pub fn runs(&self) -> Vec<DeskRun> {
        self.runs.lock().unwrap().clone()
    }

    fn write_entry(&self) {
        let phase = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"backend\":\"desk\",\"address\":\"{}\",\"zone\":\"plateau\",\"version\":\"v1\",\
             \"batchSlots\":{SLOTS},\"phase\":\"{phase}\",\"warmupLeftMs\":0,\"sequence\":1,\
             \"born\":1750000000000}}",
            self.address
        );
        self.store.write("keyed.servers", &self.id, entry.as_bytes());
        *self.last_beat.lock().unwrap() = Some(Instant::now());
    }

    /// Beats, and plays the store's part: the entry goes when the server has left, or after three
    /// intervals of silence.
    fn beat(&self) {
        let mut next_at = Instant::now() + HEARTBEAT;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let has_left = self.has_left.load(Ordering::SeqCst);
            let is_cut_off = self.is_cut_off.load(Ordering::SeqCst);
            if Instant::now() >= next_at && !has_left {
                next_at += HEARTBEAT;
                if !is_cut_off {
                    *self.last_beat.lock().unwrap() = Some(Instant::now());
                }
            }
            let is_silent =
                self.last_beat.lock().unwrap().is_some_and(|at| at.elapsed() >= 3 * HEARTBEAT);
            if is_silent || (has_left && !is_cut_off) {
                self.store.write("keyed.servers", &self.id, b"");
                self.record.line(&format!("the store removes the entry of {}", self.id));
                return;
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.has_left.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            if let Ok(connection) = stream.try_clone() {
                self.connections.lock().unwrap().push(connection);
            }
            let desk = Arc::clone(self);
            std::thread::spawn(move || {
                let _ = desk.serve_connection(stream);
            });
        }
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            let instance = [("Upstream-Instance", self.id.as_str())];
            if request.path() == "/healthz" {
                write_response(&mut writer, "200 OK", &instance, b"ok")?;
            } else if request.header("Expect-Instance").is_some_and(|id| id != self.id) {
                write_response(&mut writer, "421 Misdirected Request", &instance, b"")?;
            } else {
                self.run(&request, &mut writer)?;
            }
        }
    }

    fn run(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let arrived_s = self.record.now_s();
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let mut load = self.load.lock().unwrap();
        if load.running >= SLOTS && load.waiting >= QUEUE {
            let text = format!("{},{},{SLOTS}", load.running, load.waiting);
            drop(load);
            self.record.line(&format!("{} rejects {id}: full", self.id));
            let headers = [
                ("Request-Id", id.as_str()),
                ("Not-Executed", "1"),
                ("Upstream-Load", text.as_str()),
            ];
            return write_response(writer, "503 Service Unavailable", &headers, b"");
        }
        load.waiting += 1;
        while load.running >= SLOTS {
            load = self.freed.wait(load).unwrap();
        }
        load.waiting -= 1;
        load.running += 1;
        drop(load);
        if self.has_left.load(Ordering::SeqCst) {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        self.record.line(&format!("{} runs {id}, which arrived at {arrived_s:.3} s", self.id));
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(DeskRun { request_id: id.clone(), arrived_s, is_finished: false });
            runs.len() - 1
        };
        std::thread::sleep(self.work_time);
        let mut load = self.load.lock().unwrap();
        load.running -= 1;
        let text = format!("{},{},{SLOTS}", load.running, load.waiting);
        drop(load);
        self.freed.notify_one();
        if self.has_left.load(Ordering::SeqCst) {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        self.runs.lock().unwrap()[number].is_finished = true;
        let headers = [
            ("Request-Id", id.as_str()),
            ("Upstream-Signature", self.id.as_str()),
            ("Upstream-Load", text.as_str()),
        ];
        write_response(writer, "200 OK", &headers, format!("answer to {id}").as_bytes())
    }
}
