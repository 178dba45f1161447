//! Tests of callers that leave, or send no more, in a request of an unusual course.
//!
//! The end of a caller's stream may mean either, and bytes before it may hide it.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use sassafrashoist::gateway::caller_socket::CallerSocket;
use sassafrashoist::gateway::request_body::RequestBody;
use sassafrashoist::gateway::response_body::{ResponseBody, streamed_body};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::served_connection::{
    REQUEST, ServedConnection, WAIT, answer, serve, serve_with_timeouts,
};
use crate::waiting::wait_until;

/// How long a server may work for a caller that has left.
const GONE_TIME: Duration = Duration::from_millis(500);
/// How long a request runs whose caller stays.
const RUN_TIME: Duration = Duration::from_millis(400);
/// A time in which bytes on the loopback interface have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// The idle timeout of a connection whose request runs longer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
/// A time after which few interim responses are sent.
const LONG_STAY_TIME: Duration = Duration::from_millis(1_700);
/// The length of a response that the buffers of a connection do not hold.
const LONG_RESPONSE_BYTES: usize = 24 * 1024 * 1024;
const EVENT: &[u8] = b"data: 1\n\n";

/// The requests that a connection handles: how many were begun, and how many ended early.
#[derive(Debug, Clone, Default)]
struct Handled {
    begun: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
}

/// Counts a request that is dropped before its response.
struct DropCounter(Arc<AtomicUsize>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl Handled {
    /// Reads a request and responds after a time.
    async fn respond_after(
        self,
        request: Request<RequestBody>,
        run_time: Duration,
    ) -> Response<ResponseBody> {
        let status = match request.into_body().collect().await {
            Ok(_) => StatusCode::OK,
            Err(_) => StatusCode::BAD_REQUEST,
        };
        self.begun.fetch_add(1, Ordering::Relaxed);
        let counter = DropCounter(self.dropped);
        tokio::time::sleep(run_time).await;
        std::mem::forget(counter);
        answer(status, 4)
    }

    /// Responds with one event, after which the stream is silent.
    async fn respond_with_silent_stream(self, _: Request<RequestBody>) -> Response<ResponseBody> {
        let (sender, body) = streamed_body(4);
        sender.send(Bytes::from_static(EVENT)).await;
        tokio::spawn(async move {
            sender.closed().await;
            self.dropped.fetch_add(1, Ordering::Relaxed);
        });
        Response::new(body)
    }

    async fn serve(&self, run_time: Duration) -> ServedConnection {
        let handled = self.clone();
        serve(move |request| handled.clone().respond_after(request, run_time)).await
    }

    async fn wait_until_begun(&self) {
        wait_until("a request is handled", || self.begun.load(Ordering::Relaxed) > 0).await;
    }

    /// Returns whether a request was dropped in the time that is allowed.
    async fn is_dropped_in_time(&self) -> bool {
        let began_at = Instant::now();
        while began_at.elapsed() < GONE_TIME {
            if self.dropped.load(Ordering::Relaxed) > 0 {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        false
    }
}

fn final_answers(received: &str) -> usize {
    received.matches("HTTP/1.1 200 OK").count()
}

fn close(served: &ServedConnection) {
    served.signals.closing.cancel();
    served.signals.closing_opened.cancel();
    served.signals.closing_heads.cancel();
}

async fn read_event(caller: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"data: 1\n\n\r\n") {
        let count = caller.read_buf(&mut received).await.unwrap();
        assert!(count > 0, "{}", String::from_utf8_lossy(&received));
    }
}

// Nothing is written to a silent stream that would show that its caller has left. Callers give up a
// stream because it is silent.
#[tokio::test]
async fn silent_stream_of_a_caller_that_left_is_dropped() {
    let handled = Handled::default();
    let stream = handled.clone();
    let mut served = serve(move |request| stream.clone().respond_with_silent_stream(request)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    read_event(&mut served.caller).await;

    drop(served.caller);

    assert!(handled.is_dropped_in_time().await, "{}", served.connections);
}

// What shows that a caller has left must not change the response of one that stays.
#[tokio::test]
async fn silent_stream_of_a_caller_that_sends_no_more_is_whole() {
    let handle = |_: Request<RequestBody>| async {
        let (sender, body) = streamed_body(4);
        tokio::spawn(async move {
            for _ in 0..3 {
                sender.send(Bytes::from_static(EVENT)).await;
                tokio::time::sleep(RUN_TIME).await;
            }
            sender.finish();
        });
        Response::new(body)
    };
    let mut served = serve(handle).await;

    served.caller.write_all(REQUEST).await.unwrap();
    served.caller.shutdown().await.unwrap();
    let received = served.read_to_end().await;

    let (_, mut chunks) = received.split_once("\r\n\r\n").unwrap();
    let mut body = String::new();
    while let Some((length, rest)) = chunks.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap();
        body.push_str(&rest[..length]);
        chunks = rest[length..].strip_prefix("\r\n").unwrap();
    }
    assert_eq!(body, "data: 1\n\n".repeat(3), "{received:?}");
}

// The connection is reset, as the caller has not read the event.
#[tokio::test]
async fn silent_stream_of_a_caller_that_left_without_reading_is_dropped() {
    let handled = Handled::default();
    let stream = handled.clone();
    let mut served = serve(move |request| stream.clone().respond_with_silent_stream(request)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.caller.readable().await.unwrap();

    drop(served.caller);

    assert!(handled.is_dropped_in_time().await, "{}", served.connections);
}

// Such a caller knows no interim responses.
#[tokio::test]
async fn request_of_a_caller_of_the_older_protocol_that_left_is_dropped() {
    let handled = Handled::default();
    let mut served = handled.serve(WAIT).await;
    served.caller.write_all(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n").await.unwrap();
    handled.wait_until_begun().await;

    drop(served.caller);

    assert!(handled.is_dropped_in_time().await, "{}", served.connections);
}

// Bytes that are not read during a request hide the end of the stream.
#[tokio::test]
async fn request_of_a_caller_that_left_after_a_line_break_is_dropped() {
    let handled = Handled::default();
    let mut served = handled.serve(WAIT).await;
    served.caller.write_all(REQUEST).await.unwrap();
    handled.wait_until_begun().await;
    served.caller.write_all(b"\r\n").await.unwrap();
    tokio::time::sleep(SETTLE_TIME).await;

    drop(served.caller);

    assert!(handled.is_dropped_in_time().await, "{}", served.connections);
}

// The time between two interim responses grows with the request.
#[tokio::test]
async fn request_of_a_caller_that_sends_no_more_and_leaves_much_later_is_dropped() {
    let handled = Handled::default();
    let mut served = handled.serve(WAIT).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.caller.shutdown().await.unwrap();
    handled.wait_until_begun().await;
    tokio::time::sleep(LONG_STAY_TIME).await;
    // Unread interim responses would reset the connection.
    let mut interim = vec![0; 4_096];
    assert!(served.caller.read(&mut interim).await.unwrap() > 0);

    drop(served.caller);

    assert!(handled.is_dropped_in_time().await, "{}", served.connections);
}

// A caller that has not read the response before has no room for an interim response, but waits.
#[tokio::test]
async fn caller_with_a_full_buffer_has_not_left() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    stream.writable().await.unwrap();
    while stream.try_write(&[b'x'; 65_536]).is_ok() {}
    let socket = CallerSocket::new(stream);

    let sent = socket.send_interim();

    assert!(sent.is_ok(), "{sent:?}");
    drop(socket);
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();
    assert!(received.iter().all(|byte| *byte == b'x'));
}

// An interim response within the long answer would become a part of it.
#[tokio::test]
async fn long_answer_that_is_read_slowly_is_whole_before_the_next_answer() {
    let handle = |request: Request<RequestBody>| async move {
        match request.uri().path() {
            "/long" => answer(StatusCode::OK, LONG_RESPONSE_BYTES),
            _ => {
                tokio::time::sleep(RUN_TIME).await;
                answer(StatusCode::OK, 4)
            }
        }
    };
    let mut served = serve(handle).await;
    let long = b"GET /long HTTP/1.1\r\nhost: a\r\n\r\n";
    served.caller.write_all(&[long, REQUEST, REQUEST].concat()).await.unwrap();
    served.caller.shutdown().await.unwrap();

    let mut received = Vec::new();
    tokio::time::sleep(RUN_TIME).await;
    while served.caller.read_buf(&mut received).await.unwrap() > 0 {
        tokio::time::sleep(Duration::from_micros(200)).await;
    }

    let head_end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    let body_end = head_end + LONG_RESPONSE_BYTES;
    assert!(received.len() > body_end, "{} bytes", received.len());
    assert!(received[head_end..body_end].iter().all(|byte| *byte == b'x'));
    let rest = String::from_utf8_lossy(&received[body_end..]).into_owned();
    assert_eq!(final_answers(&rest), 2, "{rest}");
}

#[tokio::test]
async fn unusual_bodies_that_end_with_the_stream_are_answered() {
    let requests: [&[u8]; 3] = [
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
          4;a=b\r\nbody\r\n0\r\nx-sum: 1\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\nbody",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody\r\n",
    ];
    for request in requests {
        let mut served = Handled::default().serve(RUN_TIME).await;

        served.caller.write_all(request).await.unwrap();
        served.caller.shutdown().await.unwrap();
        let received = served.read_to_end().await;

        assert_eq!(final_answers(&received), 1, "{received}");
        assert!(received.ends_with("xxxx"), "{received}");
    }
}

#[tokio::test]
async fn body_that_does_not_come_after_its_interim_response_is_refused() {
    let mut served = Handled::default().serve(RUN_TIME).await;
    let head = b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";

    served.caller.write_all(head).await.unwrap();
    served.caller.shutdown().await.unwrap();
    let received = served.read_to_end().await;

    assert!(received.contains("HTTP/1.1 400"), "{received}");
}

// The end of the stream comes before, or after, the signals of a drain.
#[tokio::test]
async fn caller_that_sends_no_more_is_answered_during_a_drain() {
    for closes_first in [true, false] {
        let handled = Handled::default();
        let mut served = handled.serve(RUN_TIME).await;
        served.caller.write_all(REQUEST).await.unwrap();
        handled.wait_until_begun().await;

        if closes_first {
            close(&served);
            tokio::time::sleep(SETTLE_TIME).await;
        }
        served.caller.shutdown().await.unwrap();
        tokio::time::sleep(SETTLE_TIME).await;
        close(&served);
        let received = served.read_to_end().await;

        assert_eq!(final_answers(&received), 1, "closes first: {closes_first}: {received}");
        served.connections.wait_until_closed().await;
    }
}

// The whole request is in the buffers of the kernel when the signals of a drain come.
#[tokio::test]
async fn caller_that_sends_no_more_at_the_moment_of_a_drain_is_answered() {
    let mut served = Handled::default().serve(RUN_TIME).await;

    served.caller.write_all(REQUEST).await.unwrap();
    served.caller.shutdown().await.unwrap();
    served.signals.closing.cancel();
    let received = served.read_to_end().await;

    assert_eq!(final_answers(&received), 1, "{received}");
}

#[tokio::test]
async fn caller_that_sends_no_more_is_answered_after_the_idle_timeout() {
    let handled = Handled::default();
    let handle = move |request| handled.clone().respond_after(request, RUN_TIME);
    let mut served = serve_with_timeouts(SHORT_TIMEOUT, SHORT_TIMEOUT, handle).await;

    served.caller.write_all(REQUEST).await.unwrap();
    served.caller.shutdown().await.unwrap();
    let received = served.read_to_end().await;

    assert_eq!(final_answers(&received), 1, "{received}");
}

// A caller that keeps its connection open, with bytes that are not read, holds a drain for the linger
// time only.
#[tokio::test]
async fn unread_bytes_hold_a_drain_for_the_linger_time_only() {
    let handled = Handled::default();
    let mut served = handled.serve(RUN_TIME).await;
    served.caller.write_all(REQUEST).await.unwrap();
    handled.wait_until_begun().await;
    served.caller.write_all(REQUEST).await.unwrap();

    close(&served);
    let began_at = Instant::now();
    served.connections.wait_until_closed().await;

    let longest = RUN_TIME + Duration::from_secs(1) + SETTLE_TIME * 3;
    assert!(began_at.elapsed() < longest, "{:?}", began_at.elapsed());
}
