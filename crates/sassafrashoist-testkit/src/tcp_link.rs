//! A TCP connection between two parties that can be cut, one way or both, and slowed.
//!
//! A cut link stalls bytes as a partition does: nothing is refused, nothing arrives.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http_util::bind_loopback;

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does to its bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Bytes from the party that connects stall.
    pub is_forward_cut: bool,
    /// Bytes from the party that listens stall.
    pub is_backward_cut: bool,
    /// Time that each chunk takes one way.
    pub delay: Duration,
}

/// What has passed over a link, both ways together.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    passed_bytes: AtomicU64,
    passed_chunks: AtomicU64,
}

impl LinkTraffic {
    /// The bytes passed.
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// The chunks passed; a small message is one chunk.
    pub fn passed_chunks(&self) -> u64 {
        self.passed_chunks.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: usize) {
        self.passed_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.passed_chunks.fetch_add(1, Ordering::Relaxed);
    }
}

/// A link with a listening address of its own.
#[derive(Debug, Clone)]
pub struct TcpLink {
    /// Where the connecting party connects.
    pub address: SocketAddr,
    /// What has passed.
    pub traffic: Arc<LinkTraffic>,
    target: Arc<Mutex<Option<SocketAddr>>>,
    faults: Arc<watch::Sender<LinkFaults>>,
}

impl TcpLink {
    /// Starts a link whose target is set later.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(cancel: &CancellationToken) -> Result<Self> {
        let (listener, address) = bind_loopback().await?;
        let (faults, _) = watch::channel(LinkFaults::default());
        let link = Self {
            address,
            traffic: Arc::default(),
            target: Arc::default(),
            faults: Arc::new(faults),
        };
        tokio::spawn(cancel.clone().run_until_cancelled_owned(link.clone().accept(listener)));
        Ok(link)
    }

    /// Sets the address of the listening party.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Sets the faults; they hold for open connections too.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }

    /// Cuts or mends the link both ways.
    pub fn set_cut(&self, is_cut: bool) {
        self.faults.send_modify(|faults| {
            faults.is_forward_cut = is_cut;
            faults.is_backward_cut = is_cut;
        });
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(target) = target else {
                continue;
            };
            let traffic = Arc::clone(&self.traffic);
            tokio::spawn(connect(near, target, self.faults.subscribe(), traffic));
        }
    }
}

async fn connect(
    near: TcpStream,
    target: SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
    traffic: Arc<LinkTraffic>,
) {
    let open = |faults: &LinkFaults| !faults.is_forward_cut;
    if faults.wait_for(open).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward =
        pump(near_read, far_write, faults.clone(), &traffic, |faults| !faults.is_forward_cut);
    let backward = pump(far_read, near_write, faults, &traffic, |faults| !faults.is_backward_cut);
    tokio::join!(forward, backward);
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFaults>,
    traffic: &LinkTraffic,
    is_open: impl Fn(&LinkFaults) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut chunk).await {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        traffic.count(count);
        let delay = faults.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if faults.wait_for(|faults| is_open(faults)).await.is_err() {
            break;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
