//! Tests of the connections that a gateway that stops waits for.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use http::Version;
use sassafrashoist::gateway::listen::close_listener;
use sassafrashoist::gateway::open_connections::OpenConnections;
use sassafrashoist_core::gateway::connection_phase::ConnectionPhase;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::served_connection::{REQUEST, WAIT, serve, serve_with_timeouts, succeed};

/// The length of a response of which the kernel takes only a part.
const RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// A short idle timeout.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Lets the connection's task run until it waits.
async fn run_connection() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

async fn is_closed(connections: &OpenConnections) -> bool {
    tokio::time::timeout(Duration::ZERO, connections.wait_until_closed()).await.is_ok()
}

// A gateway counted a request as done when it had handed the response to the HTTP library, and
// exited with a part of the answer in its own buffers.
#[tokio::test]
async fn response_that_is_not_written_to_its_end_is_waited_for() {
    let mut served = serve(succeed(RESPONSE_BYTES)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.writing_response == 1).await;

    served.signals.closing.cancel();
    run_connection().await;
    let counts = served.connections.counts();
    let was_closed = is_closed(&served.connections).await;
    let received = served.read_to_end().await;
    let closed = tokio::time::timeout(WAIT, served.connections.wait_until_closed()).await;

    assert_eq!((counts.writing_response, counts.total()), (1, 1));
    assert!(!was_closed);
    assert!(received.len() > RESPONSE_BYTES, "{} bytes with the head", received.len());
    assert!(closed.is_ok());
}

// The HTTP library closes a kept connection at once, also if it has read a part of the next head.
#[tokio::test]
async fn head_that_is_being_read_on_a_kept_connection_is_waited_for() {
    let mut served = serve(succeed(4)).await;
    let (first_part, rest) = REQUEST.split_at(10);
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.idle == 1).await;
    served.caller.write_all(first_part).await.unwrap();
    served.wait_for(|counts| counts.reading_head == 1).await;

    served.signals.closing.cancel();
    served.signals.closing_opened.cancel();
    run_connection().await;
    let counts = served.connections.counts();
    served.caller.write_all(rest).await.unwrap();
    let received = served.read_to_end().await;

    assert_eq!((counts.reading_head, counts.total()), (1, 1));
    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 2, "{received}");
    assert!(received.ends_with("xxxx"), "{received}");
}

// The timer of the HTTP library ran from the end of the request before, and closed the connection
// within a head that had begun at the end of the idle time.
#[tokio::test]
async fn head_that_begins_at_the_end_of_the_idle_time_is_answered() {
    let mut served = serve_with_timeouts(IDLE_TIMEOUT, WAIT, succeed(4)).await;
    let (first_part, rest) = REQUEST.split_at(10);
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.idle == 1).await;

    served.caller.write_all(first_part).await.unwrap();
    served.wait_for(|counts| counts.reading_head == 1).await;
    tokio::time::sleep(2 * IDLE_TIMEOUT).await;
    served.caller.write_all(rest).await.unwrap();
    let received = served.read_to_end().await;

    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 2, "{received}");
}

#[tokio::test]
async fn idle_time_begins_anew_with_each_request() {
    let mut served = serve_with_timeouts(IDLE_TIMEOUT, WAIT, succeed(4)).await;

    for _ in 0..4 {
        served.caller.write_all(REQUEST).await.unwrap();
        tokio::time::sleep(IDLE_TIMEOUT / 2).await;
    }
    let received = served.read_to_end().await;
    let closed = tokio::time::timeout(WAIT, served.connections.wait_until_closed()).await;

    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 4, "{received}");
    assert!(closed.is_ok());
}

// Its caller may still count on the longer time; the next idle time is the shorter one.
#[tokio::test]
async fn idle_time_that_becomes_shorter_holds_from_the_next_request_on() {
    let mut served = serve_with_timeouts(3 * IDLE_TIMEOUT, WAIT, succeed(4)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.idle == 1).await;

    served.timeouts.send_modify(|timeouts| timeouts.idle = IDLE_TIMEOUT);
    tokio::time::sleep(2 * IDLE_TIMEOUT).await;
    served.caller.write_all(REQUEST).await.unwrap();
    let began = Instant::now();
    let received = served.read_to_end().await;

    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 2, "{received}");
    assert!(began.elapsed() < 3 * IDLE_TIMEOUT, "{:?}", began.elapsed());
}

// The connection was closed without a word, which a caller can take for a request that was read.
#[tokio::test]
async fn head_that_takes_too_long_is_refused_and_ends_its_connection() {
    let mut served = serve_with_timeouts(WAIT, IDLE_TIMEOUT, succeed(4)).await;
    let (first_part, rest) = REQUEST.split_at(10);
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.idle == 1).await;

    served.caller.write_all(first_part).await.unwrap();
    tokio::time::sleep(2 * IDLE_TIMEOUT).await;
    served.caller.write_all(rest).await.unwrap();
    let received = served.read_to_end().await;
    let closed = tokio::time::timeout(WAIT, served.connections.wait_until_closed()).await;

    let answers: Vec<_> = received.split("HTTP/1.1 ").skip(1).collect();
    assert!(answers.len() == 2 && answers[0].starts_with("200"), "{received}");
    assert!(
        answers[1].starts_with("408") && answers[1].contains("connection: close"),
        "{received}"
    );
    assert!(closed.is_ok());
}

#[tokio::test]
async fn connection_without_a_byte_is_served_until_such_connections_are_closed() {
    let [mut in_time, mut late] = [serve(succeed(4)).await, serve(succeed(4)).await];

    for served in [&in_time, &late] {
        served.signals.closing.cancel();
    }
    run_connection().await;
    in_time.caller.write_all(REQUEST).await.unwrap();
    late.signals.closing_opened.cancel();
    let answered = in_time.read_to_end().await;
    let unanswered = late.read_to_end().await;
    let closed = tokio::time::timeout(WAIT, late.connections.wait_until_closed()).await;

    assert!(answered.ends_with("xxxx"), "{answered}");
    assert_eq!(unanswered, "");
    assert!(closed.is_ok());
}

#[tokio::test]
async fn idle_connection_is_closed_at_once() {
    let mut served = serve(succeed(4)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    let counts = served.wait_for(|counts| counts.idle == 1).await;

    served.signals.closing.cancel();
    let received = served.read_to_end().await;
    let closed = tokio::time::timeout(WAIT, served.connections.wait_until_closed()).await;

    assert_eq!(counts.total(), 1);
    assert!(received.ends_with("xxxx"), "{received}");
    assert!(closed.is_ok());
}

// Idle connections were kept while new ones took the rest of the memory.
#[tokio::test]
async fn longest_idle_connection_is_closed_first() {
    let connections = std::sync::Arc::<OpenConnections>::default();
    let open: Vec<_> = (0..4).map(|_| connections.add()).collect();
    for index in [2, 1, 3, 0, 2] {
        open[index].record_request(Version::HTTP_11);
        open[index].record_response();
        open[index].record_written();
    }
    open[1].record_request(Version::HTTP_11);

    let mut closed = Vec::new();
    for _ in 0..4 {
        connections.close_longest_idle();
        for (index, connection) in open.iter().enumerate() {
            let request = connection.wait_for_close_request();
            if tokio::time::timeout(Duration::ZERO, request).await.is_ok() {
                closed.push(index);
            }
        }
    }

    assert_eq!(closed, [3, 0, 2]);
}

#[tokio::test]
async fn idle_connection_is_closed_in_favour_of_others() {
    let mut served = serve(succeed(4)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.idle == 1).await;

    served.connections.close_longest_idle();
    let received = served.read_to_end().await;

    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 1, "{received}");
}

// A request that has arrived, but has not been read, would be lost with its connection.
#[tokio::test]
async fn request_that_arrives_on_a_connection_to_be_closed_is_answered() {
    let mut served = serve(succeed(4)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.idle == 1).await;

    served.connections.close_longest_idle();
    served.caller.try_write(REQUEST).unwrap();
    let mut responses = [0; 1_024];
    let mut length = served.caller.read(&mut responses).await.unwrap();
    while String::from_utf8_lossy(&responses[..length]).matches("xxxx").count() < 2 {
        let read = served.caller.read(&mut responses[length..]).await.unwrap();
        assert!(read > 0, "{}", String::from_utf8_lossy(&responses[..length]));
        length += read;
    }

    served.wait_for(|counts| counts.idle == 1).await;
}

// A line break between two requests counted as a head that is being read, for good.
#[test]
fn line_breaks_are_no_part_of_a_head() {
    let connections = std::sync::Arc::<OpenConnections>::default();
    let open = connections.add();

    open.record_read(b"\r\n");
    let after_line_break = open.phase();
    open.record_read(b"\r\nG");

    assert_eq!(after_line_break, ConnectionPhase::Opened);
    assert_eq!(open.phase(), ConnectionPhase::ReadingHead);
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
