//! The link of a machine to its callers: one bandwidth for all connections, the default segments of
//! TCP, and small windows, so that the kernel buffers no more than some 200 KB of a connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The most bytes that the link passes on at once.
const CHUNK_BYTES: usize = 4_096;
/// The bytes of a TCP segment.
const SEGMENT_BYTES: i32 = 536;
/// The receive buffer of a connection.
const WINDOW_BYTES: i32 = 4_096;

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Starts the link to an address; returns the address for callers.
pub fn start_link(target: SocketAddr, bytes_per_s: usize) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let Ok(machine) = open(target) else {
                continue;
            };
            let (Ok(from_caller), Ok(to_machine)) = (caller.try_clone(), machine.try_clone())
            else {
                continue;
            };
            let free_at = Arc::clone(&free_at);
            thread::spawn(move || pass_on(from_caller, to_machine, None));
            thread::spawn(move || pass_on(machine, caller, Some((&free_at, bytes_per_s))));
        }
    });
    Ok(address)
}

/// Opens a connection with small segments and a small window.
fn open(target: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(target) = target else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = SocketAddress {
        family: AF_INET,
        port: target.port().to_be_bytes(),
        ip: target.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is new and owned here; all values live during the calls and have the
    // given lengths.
    unsafe {
        let descriptor = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let owned = OwnedFd::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        if connect(descriptor, &address, size_of::<SocketAddress>() as u32) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(TcpStream::from(owned))
    }
}

/// Passes bytes on until a side ends, within the bandwidth that all connections share, if any.
fn pass_on(mut from: TcpStream, mut to: TcpStream, bandwidth: Option<(&Mutex<Instant>, usize)>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut chunk) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        if let Some((free_at, bytes_per_s)) = bandwidth {
            let due = {
                let mut free_at = free_at.lock().unwrap_or_else(PoisonError::into_inner);
                let time = Duration::from_secs_f64(count as f64 / bytes_per_s as f64);
                *free_at = (*free_at).max(Instant::now()) + time;
                *free_at
            };
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
