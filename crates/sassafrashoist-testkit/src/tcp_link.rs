//! A TCP proxy that can block traffic, in one direction or both, and delay it.
//!
//! A cut link simulates a network partition: no connection is refused, but no bytes are delivered
//! until the link is restored.

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

/// The most bytes read and forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The faults that a link injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Bytes from the client are held back.
    pub is_forward_cut: bool,
    /// Bytes from the server are held back.
    pub is_backward_cut: bool,
    /// Time added to each chunk, in each direction.
    pub delay: Duration,
}

/// The traffic that a link has forwarded, both directions together.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    forwarded_bytes: AtomicU64,
    forwarded_chunks: AtomicU64,
}

impl LinkTraffic {
    /// The bytes forwarded.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// The chunks forwarded; a small message is one chunk.
    pub fn forwarded_chunks(&self) -> u64 {
        self.forwarded_chunks.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: usize) {
        self.forwarded_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.forwarded_chunks.fetch_add(1, Ordering::Relaxed);
    }
}

/// A proxy with its own listening address.
#[derive(Debug, Clone)]
pub struct TcpLink {
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The traffic forwarded so far.
    pub traffic: Arc<LinkTraffic>,
    target: Arc<Mutex<Option<SocketAddr>>>,
    faults: Arc<watch::Sender<LinkFaults>>,
}

impl TcpLink {
    /// Starts a link whose target is set later; it closes connections until then.
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

    /// Sets the address of the server.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Sets the faults; they apply to open connections too.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }

    /// Cuts or restores the link in both directions.
    pub fn set_cut(&self, is_cut: bool) {
        self.faults.send_modify(|faults| {
            faults.is_forward_cut = is_cut;
            faults.is_backward_cut = is_cut;
        });
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((inbound, _)) = listener.accept().await {
            let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(target) = target else {
                continue;
            };
            let traffic = Arc::clone(&self.traffic);
            tokio::spawn(forward_connection(inbound, target, self.faults.subscribe(), traffic));
        }
    }
}

async fn forward_connection(
    inbound: TcpStream,
    target: SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
    traffic: Arc<LinkTraffic>,
) {
    let open = |faults: &LinkFaults| !faults.is_forward_cut;
    if faults.wait_for(open).await.is_err() {
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (mut inbound_read, mut inbound_write) = inbound.into_split();
    let (mut outbound_read, mut outbound_write) = outbound.into_split();
    let forward =
        forward_bytes(&mut inbound_read, &mut outbound_write, faults.clone(), &traffic, |faults| {
            !faults.is_forward_cut
        });
    let backward =
        forward_bytes(&mut outbound_read, &mut inbound_write, faults, &traffic, |faults| {
            !faults.is_backward_cut
        });
    if tokio::try_join!(forward, backward).is_err() {
        // A reset of one connection resets the other.
        for write in [inbound_write, outbound_write] {
            let _ = write.as_ref().set_zero_linger();
            write.forget();
        }
    }
}

/// The error when a connection was reset.
struct ConnectionReset;

async fn forward_bytes(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFaults>,
    traffic: &LinkTraffic,
    is_open: impl Fn(&LinkFaults) -> bool,
) -> Result<(), ConnectionReset> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut chunk).await {
            Ok(count) if count > 0 => count,
            Ok(_) => break,
            Err(_) => return Err(ConnectionReset),
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
    Ok(())
}
