//! Tests of the connections that a gateway that stops waits for.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use sassafrashoist::gateway::closing_signals::ClosingSignals;
use sassafrashoist::gateway::listen::{ConnectionPolicy, close_listener, serve_connection};
use sassafrashoist::gateway::open_connections::OpenConnections;
use sassafrashoist::gateway::response_body::full_response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The length of a response of which the kernel takes only a part.
const RESPONSE_BYTES: usize = 32 * 1024 * 1024;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const WAIT: Duration = Duration::from_secs(10);

/// A caller's connection and what the gateway knows of it.
struct Served {
    caller: TcpStream,
    connections: Arc<OpenConnections>,
    signals: ClosingSignals,
}

/// Serves one connection, and answers each of its requests with a body of this length.
async fn serve(response_bytes: usize) -> Served {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let connections = Arc::<OpenConnections>::default();
    let signals = ClosingSignals::default();
    let policy =
        ConnectionPolicy { head_timeout: WAIT, max_head_bytes: 8_192, closing: signals.clone() };
    let open = connections.add();
    tokio::spawn(serve_connection(stream, open, policy, move |_| async move {
        let body = Bytes::from(vec![b'x'; response_bytes]);
        full_response(StatusCode::OK, HeaderMap::new(), body)
    }));
    Served { caller, connections, signals }
}

/// Lets the connection's task run until it waits.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

async fn is_closed(connections: &OpenConnections) -> bool {
    tokio::time::timeout(Duration::ZERO, connections.wait_until_closed()).await.is_ok()
}

async fn read_to_end(caller: &mut TcpStream) -> usize {
    let mut received = Vec::new();
    tokio::time::timeout(WAIT, caller.read_to_end(&mut received)).await.unwrap().unwrap()
}

// A gateway counted a request as done when it had handed the response to the HTTP library, and
// exited with a part of the answer in its own buffers.
#[tokio::test]
async fn response_that_is_not_written_to_its_end_is_waited_for() {
    let mut served = serve(RESPONSE_BYTES).await;
    served.caller.write_all(REQUEST).await.unwrap();
    settle().await;

    served.signals.closing.cancel();
    settle().await;
    let counts = served.connections.counts();
    let was_closed = is_closed(&served.connections).await;
    let received = read_to_end(&mut served.caller).await;
    let closed = tokio::time::timeout(WAIT, served.connections.wait_until_closed()).await;

    assert_eq!((counts.writing_response, counts.total()), (1, 1));
    assert!(!was_closed);
    assert!(received > RESPONSE_BYTES, "{received} bytes with the head");
    assert!(closed.is_ok());
}

// The HTTP library closes a kept connection at once, also if it has read a part of the next head.
#[tokio::test]
async fn head_that_is_being_read_on_a_kept_connection_is_waited_for() {
    let mut served = serve(4).await;
    served.caller.write_all(REQUEST).await.unwrap();
    settle().await;
    let (first_part, rest) = REQUEST.split_at(10);
    served.caller.write_all(first_part).await.unwrap();
    settle().await;

    served.signals.closing.cancel();
    served.signals.closing_opened.cancel();
    settle().await;
    let counts = served.connections.counts();
    served.caller.write_all(rest).await.unwrap();
    let mut received = String::new();
    let read = tokio::time::timeout(WAIT, served.caller.read_to_string(&mut received)).await;

    assert_eq!((counts.reading_head, counts.total()), (1, 1));
    read.unwrap().unwrap();
    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 2, "{received}");
    assert!(received.ends_with("xxxx"), "{received}");
}

#[tokio::test]
async fn connection_without_a_byte_is_served_until_such_connections_are_closed() {
    let [mut in_time, mut late] = [serve(4).await, serve(4).await];

    for served in [&in_time, &late] {
        served.signals.closing.cancel();
    }
    settle().await;
    in_time.caller.write_all(REQUEST).await.unwrap();
    late.signals.closing_opened.cancel();
    let answered = read_to_end(&mut in_time.caller).await;
    let unanswered = read_to_end(&mut late.caller).await;
    let closed = tokio::time::timeout(WAIT, late.connections.wait_until_closed()).await;

    assert!(answered > 4, "{answered} bytes with the head");
    assert_eq!(unanswered, 0);
    assert!(closed.is_ok());
}

#[tokio::test]
async fn idle_connection_is_closed_at_once() {
    let mut served = serve(4).await;
    served.caller.write_all(REQUEST).await.unwrap();
    settle().await;
    let counts = served.connections.counts();

    served.signals.closing.cancel();
    let received = read_to_end(&mut served.caller).await;
    let closed = tokio::time::timeout(WAIT, served.connections.wait_until_closed()).await;

    assert_eq!((counts.idle, counts.total()), (1, 1));
    assert!(received > 4, "{received} bytes with the head");
    assert!(closed.is_ok());
}

// Connections that the kernel had accepted were reset when the listener was closed.
#[tokio::test]
async fn connections_in_the_backlog_are_accepted_when_the_listener_is_closed() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut callers = Vec::new();
    for _ in 0..3 {
        callers.push(TcpStream::connect(address).await.unwrap());
    }

    let backlog = close_listener(listener);

    assert_eq!(backlog.len(), callers.len());
    assert!(TcpStream::connect(address).await.is_err());
}
