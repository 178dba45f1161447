//! Tests of the bytes that a VM carries for another one.

use std::io;
use std::net::Ipv4Addr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use sassafrashoist::gateway::serve_relay::{PassEnd, pass_request_on, splice};
use tokio::io::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex,
};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 65_536;
const REQUEST: &[u8] = b"POST /bid HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

/// The head of a response whose body ends with its connection, and a part of that.
const PARTIAL_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nupstream-signature: a\r\n\r\npart";
/// The lengths of request bodies: one that the buffers take, and two that they do not.
const UPLOAD_BYTES: [usize; 3] = [100, 2_000_000, 20_000_000];
/// The times after which a server ends the connection.
const END_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(3),
    Duration::from_millis(10),
    Duration::from_millis(30),
];

/// The connection of another VM, which records whether its writing side was closed properly.
struct VmConnection {
    stream: DuplexStream,
    is_closed: Arc<AtomicBool>,
}

impl AsyncRead for VmConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for VmConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_closed.store(true, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// What another VM got of a response.
#[derive(Debug, PartialEq, Eq)]
struct Carried {
    received: Vec<u8>,
    /// Whether the connection ended as if the response were complete.
    is_closed: bool,
}

/// Carries a request with a body to a server that `serve` plays.
async fn carry<F>(upload_bytes: usize, serve: impl FnOnce(TcpStream) -> F) -> Carried
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let to_server = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let server = tokio::spawn(serve(accepted));
    let (other_vm, stream) = duplex(BUFFER_BYTES);
    let is_closed = Arc::new(AtomicBool::new(false));
    let connection = VmConnection { stream, is_closed: Arc::clone(&is_closed) };
    let carrying = tokio::spawn(splice(connection, to_server));
    let (mut from_vm, mut to_vm) = tokio::io::split(other_vm);
    let uploading = tokio::spawn(async move {
        // The server need not read the whole request.
        to_vm.write_all(&vec![b'x'; upload_bytes]).await.ok();
        to_vm
    });
    let mut received = Vec::new();
    from_vm.read_to_end(&mut received).await.unwrap();
    drop(uploading.await.unwrap());
    carrying.await.unwrap();
    server.await.unwrap();
    Carried { received, is_closed: is_closed.load(Ordering::Relaxed) }
}

// The write of the request took the error of the reset, and the read behind it found a proper end.
#[tokio::test]
async fn response_that_was_reset_during_the_upload_does_not_end_as_if_it_were_complete() {
    for upload_bytes in UPLOAD_BYTES {
        for delay in END_DELAYS.repeat(5) {
            let carried = carry(upload_bytes, |mut server| async move {
                server.read_exact(&mut [0; 50]).await.unwrap();
                server.write_all(PARTIAL_RESPONSE).await.unwrap();
                tokio::time::sleep(delay).await;
                server.set_zero_linger().unwrap();
            })
            .await;

            assert!(!carried.is_closed, "{upload_bytes} bytes, reset after {delay:?}");
            assert!(PARTIAL_RESPONSE.starts_with(&carried.received), "{upload_bytes}");
        }
    }
}

#[tokio::test]
async fn response_of_a_server_that_read_the_whole_upload_ends_properly() {
    for upload_bytes in UPLOAD_BYTES {
        let carried = carry(upload_bytes, move |mut server| async move {
            server.read_exact(&mut vec![0; upload_bytes]).await.unwrap();
            server.write_all(PARTIAL_RESPONSE).await.unwrap();
        })
        .await;

        let expected = Carried { received: PARTIAL_RESPONSE.to_vec(), is_closed: true };
        assert_eq!(carried, expected, "{upload_bytes}");
    }
}

// The VM that carries a request stood still while the other one, whose caller had left, gave it up.
#[tokio::test]
async fn request_that_another_vm_gave_up_meanwhile_is_not_passed_on() {
    let (mut other_vm, mut from) = duplex(BUFFER_BYTES);
    let (mut to, mut server) = duplex(BUFFER_BYTES);
    other_vm.write_all(REQUEST).await.unwrap();
    drop(other_vm);

    let end = pass_request_on(&mut from, &mut to).await;
    drop(to);
    let mut received = Vec::new();
    server.read_to_end(&mut received).await.unwrap();

    assert_eq!(end, PassEnd::Closed);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}

#[tokio::test]
async fn request_of_a_vm_that_waits_is_passed_on_whole() {
    let (mut other_vm, mut from) = duplex(BUFFER_BYTES);
    let (mut to, mut server) = duplex(BUFFER_BYTES);
    let body = vec![b'x'; BUFFER_BYTES / 2];
    other_vm.write_all(REQUEST).await.unwrap();
    other_vm.write_all(&body).await.unwrap();

    let passing = tokio::spawn(async move { pass_request_on(&mut from, &mut to).await });
    let mut received = vec![0; REQUEST.len() + body.len()];
    server.read_exact(&mut received).await.unwrap();
    drop(other_vm);

    assert_eq!(passing.await.unwrap(), PassEnd::Closed);
    assert!(received.starts_with(REQUEST) && received.ends_with(&body));
}
