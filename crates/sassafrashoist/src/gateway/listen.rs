//! Accepts HTTP/1.1 connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use eyre::WrapErr;
use futures::FutureExt;
use http::header::CONTENT_LENGTH;
use http::{Method, Request, Response, StatusCode, Version};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::net::sockopt::set_tcp_user_timeout;
use sassafrashoist_adapter::request_headers::request_id;
use sassafrashoist_core::gateway::connection_phase::ConnectionPhase;
use sassafrashoist_core::gateway::connection_timeouts::ConnectionTimeouts;
use sassafrashoist_core::gateway::framing_allowance::MAX_HEAD_BYTES;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::caller_presence::CallerPresence;
use super::caller_socket::CallerSocket;
use super::caller_stream::{CallerStream, ResetSwitch};
use super::closing_signals::ClosingSignals;
use super::framing_meter::FramingMeter;
use super::metered_stream::MeteredStream;
use super::open_connection::OpenConnection;
use super::open_connections::OpenConnections;
use super::request_body::RequestBody;
use super::response_body::ResponseBody;
use super::serve_request::Refusal;
use super::tracked_body::TrackedBody;
use super::watch_caller::wait_until_caller_left;

/// Delay after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum length of the head of a request that does not come from a caller.
const MAX_INTERNAL_HEAD_BYTES: usize = 8_192;
/// The timeouts of a connection that does not come from a caller.
const INTERNAL_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Duration::from_secs(30), head: Duration::from_secs(30) };

/// How long a caller may take none of the bytes of a response.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// How connections are served.
#[derive(Debug, Clone)]
pub struct ConnectionPolicy {
    /// How long a connection may stay in each phase, now.
    pub timeouts: watch::Receiver<ConnectionTimeouts>,
    /// How long a caller may take none of the bytes of a response.
    pub write_timeout: Duration,
    /// The maximum length of a request head.
    pub max_head_bytes: usize,
    /// When connections are closed.
    pub closing: ClosingSignals,
}

/// Listens on an address.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("failed to listen on {address}"))
}

/// Accepts one connection; retries until that succeeds.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes a listener; returns the connections in its backlog, whose callers count them as open.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let mut backlog = Vec::new();
    let accept_backlog = || -> io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    backlog.push(TcpStream::from_std(stream)?);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // The caller has given up a connection that was in the backlog.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
    };
    if let Err(error) = accept_backlog() {
        log::warn!(error:% = error; "connections in the backlog of the listener not accepted");
    }
    backlog
}

/// Serves the requests of one connection.
pub async fn serve_connection<F, R>(
    stream: TcpStream,
    open: Arc<OpenConnection>,
    policy: ConnectionPolicy,
    handle: F,
) where
    F: Fn(Request<RequestBody>) -> R,
    R: Future<Output = Response<ResponseBody>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "connection was closed before it was served");
        return;
    }
    // The kernel ends the connection then; it knows of each byte that a slow caller takes.
    let write_timeout_ms = u32::try_from(policy.write_timeout.as_millis()).unwrap_or(u32::MAX);
    if let Err(error) = set_tcp_user_timeout(&stream, write_timeout_ms) {
        log::warn!(error:% = error; "failed to set how long a caller may read nothing");
    }
    let reset_switch = ResetSwitch::default();
    let meter = FramingMeter::new(policy.max_head_bytes.max(MAX_HEAD_BYTES));
    let socket = CallerSocket::new(stream);
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(CallerPresence::new(&socket, &open));
        let caller_version = request.version();
        let is_head = request.method() == Method::HEAD;
        let (open, reset_switch, meter) = (&open, &reset_switch, &meter);
        open.record_request(caller_version);
        let request_id = request_id(request.headers()).unwrap_or("-").to_owned();
        let response = handle(request.map(|body| RequestBody::new(body, open, meter.clone())));
        async move {
            let response = AssertUnwindSafe(response).catch_unwind().await;
            let response = response.unwrap_or_else(|_| answer_panic(&request_id));
            open.record_response_start(
                caller_version == Version::HTTP_11 && !is_head && is_chunked(&response),
            );
            if response.status() == StatusCode::SWITCHING_PROTOCOLS {
                meter.lock().lift();
            }
            // Such a response, or the bytes after it, may end with its connection.
            if caller_version == Version::HTTP_10
                || response.version() == Version::HTTP_10
                || response.status() == StatusCode::SWITCHING_PROTOCOLS
            {
                reset_switch.turn_on();
            }
            Ok::<_, Infallible>(TrackedBody::wrap(response, open))
        }
    });
    let caller_stream = CallerStream::new(socket.clone(), Arc::clone(&open), reset_switch.clone());
    let metered_stream = MeteredStream::new(caller_stream, meter.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timer of the HTTP library runs from the end of the request before.
        .header_read_timeout(None)
        .half_close(true)
        .max_buf_size(policy.max_head_bytes)
        .preserve_header_case(true)
        .serve_connection(TokioIo::new(metered_stream), service)
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    let served = async {
        tokio::select! {
            biased;
            result = connection.as_mut() => return result,
            () = wait_for_stalled_head(&policy.closing, &open) => {
                log::info!("connection closed: the head of a request stalled while this VM stops");
                return Ok(());
            }
            phase = wait_until_overdue(&policy.timeouts, &open) => {
                if phase == ConnectionPhase::ReadingHead {
                    log::info!("connection closed: the head of a request took too long");
                    if let Err(error) = socket.refuse_late_head().await {
                        log::debug!(error:% = error; "caller left within a head");
                    }
                    return Ok(());
                }
                open.record_closing();
            }
            () = wait_until_closed_as_idle(&socket, &open) => {
                open.record_closing();
            }
            () = wait_until_closing(&policy.closing, &open) => {
                if matches!(open.phase(), ConnectionPhase::Opened | ConnectionPhase::Idle) {
                    open.record_closing();
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    let result = tokio::select! {
        biased;
        result = served => result,
        error = wait_until_caller_left(&socket, &open) => {
            log::debug!(error:% = error; "connection closed: its caller left within a request");
            return;
        }
    };
    if let Some(bytes) = meter.excess_bytes() {
        log::info!(bytes = bytes; "connection closed: its caller sent neither a request nor data of one");
    }
    if let Err(error) = result {
        log::debug!(error:% = error; "incoming connection ended with an error");
    }
}

/// Returns whether the HTTP library sends the body of a response in chunks.
fn is_chunked(response: &Response<ResponseBody>) -> bool {
    let has_no_body = response.status().is_informational()
        || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    response.version() == Version::HTTP_11
        && !has_no_body
        && !response.headers().contains_key(CONTENT_LENGTH)
        && !response.body().is_end_stream()
        && response.body().size_hint().exact().is_none()
}

/// Responds to a request whose handling has panicked; it may have reached a server.
fn answer_panic(request_id: &str) -> Response<ResponseBody> {
    log::error!(id = request_id; "request ended with a panic");
    Refusal::new(StatusCode::BAD_GATEWAY, "internal failure").into_response(request_id, &"")
}

/// Waits until a connection has been idle for too long, or a head takes too long to arrive; returns the
/// phase that lasts too long. A timeout that becomes longer meanwhile applies at once, a shorter one
/// from the next phase on, as the caller may still count on the longer one.
async fn wait_until_overdue(
    timeouts: &watch::Receiver<ConnectionTimeouts>,
    open: &OpenConnection,
) -> ConnectionPhase {
    loop {
        let (phase, change_count, began) = (open.phase(), open.change_count(), Instant::now());
        let changed = wait_while(|| open.change_count() == change_count);
        let Some(mut timeout) = timeouts.borrow().longest(phase) else {
            changed.await;
            continue;
        };
        let overdue = async {
            loop {
                tokio::time::sleep_until(began + timeout).await;
                match timeouts.borrow().longest(phase) {
                    Some(longer) if longer > timeout => timeout = longer,
                    Some(_) | None => return,
                }
            }
        };
        tokio::select! {
            biased;
            () = changed => {}
            () = overdue => return phase,
        }
    }
}

/// Waits until a connection is to be closed after the request in progress.
///
/// The HTTP library closes a connection that is not in a request at once, also if it has read a part
/// of the next head, or if the first request is about to arrive.
async fn wait_until_closing(signals: &ClosingSignals, open: &OpenConnection) {
    signals.closing.cancelled().await;
    tokio::select! {
        () = signals.closing_opened.cancelled() => {}
        () = wait_while(|| open.phase() == ConnectionPhase::Opened) => {}
    }
    wait_while(|| open.phase() == ConnectionPhase::ReadingHead).await;
}

/// Waits until an idle connection is to be closed in favour of others, and no request has arrived on it.
async fn wait_until_closed_as_idle(socket: &CallerSocket, open: &OpenConnection) {
    loop {
        open.wait_for_close_request().await;
        if open.phase() == ConnectionPhase::Idle && !socket.is_readable() {
            return;
        }
    }
}

/// Waits until heads that are being read are given up, if a head is being read then.
async fn wait_for_stalled_head(signals: &ClosingSignals, open: &OpenConnection) {
    signals.closing_heads.cancelled().await;
    if open.phase() != ConnectionPhase::ReadingHead {
        std::future::pending().await
    }
}

/// Waits while a condition on the phase of a connection holds. The phase changes only while the
/// connection is polled, which wakes this future too, as both are polled by one task.
pub(super) async fn wait_while(condition: impl Fn() -> bool) {
    let poll = |_: &mut Context<'_>| match condition() {
        true => Poll::Pending,
        false => Poll::Ready(()),
    };
    std::future::poll_fn(poll).await;
}

/// Serves requests that do not come from callers until cancelled.
pub async fn serve_listener<F, R>(
    listener: TcpListener,
    connections: Arc<OpenConnections>,
    closing: CancellationToken,
    handle: F,
) where
    F: Fn(Request<RequestBody>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let policy = ConnectionPolicy {
        timeouts: watch::Sender::new(INTERNAL_TIMEOUTS).subscribe(),
        write_timeout: WRITE_TIMEOUT,
        max_head_bytes: MAX_INTERNAL_HEAD_BYTES,
        closing: ClosingSignals {
            closing: closing.clone(),
            closing_opened: closing.clone(),
            closing_heads: closing,
        },
    };
    loop {
        let stream = accept(&listener).await;
        tokio::spawn(serve_connection(stream, connections.add(), policy.clone(), handle.clone()));
    }
}
