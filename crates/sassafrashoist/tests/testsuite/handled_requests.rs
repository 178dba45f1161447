//! A fixture: requests that a connection handles, and that are dropped when their caller leaves.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use sassafrashoist::gateway::request_body::RequestBody;
use sassafrashoist::gateway::response_body::{ResponseBody, streamed_body};

use crate::served_connection::{ServedConnection, answer, serve};
use crate::waiting::wait_until;

/// How long a server may work for a caller that has left.
pub const GONE_TIME: Duration = Duration::from_millis(500);
/// An event of a stream.
const EVENT: &[u8] = b"data: 1\n\n";
/// Time between two looks at the counts.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The requests that a connection handles: how many were begun, and how many ended early.
#[derive(Debug, Clone, Default)]
pub struct Handled {
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
    pub async fn respond_after(
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
    pub async fn respond_with_silent_stream(
        self,
        _: Request<RequestBody>,
    ) -> Response<ResponseBody> {
        let (sender, body) = streamed_body(4);
        sender.send(Bytes::from_static(EVENT)).await;
        tokio::spawn(async move {
            sender.closed().await;
            self.dropped.fetch_add(1, Ordering::Relaxed);
        });
        Response::new(body)
    }

    /// Serves one connection whose requests take this long.
    pub async fn serve(&self, run_time: Duration) -> ServedConnection {
        let handled = self.clone();
        serve(move |request| handled.clone().respond_after(request, run_time)).await
    }

    /// Waits until a request was read.
    pub async fn wait_until_begun(&self) {
        wait_until("a request is handled", || self.begun.load(Ordering::Relaxed) > 0).await;
    }

    /// Returns whether a request was dropped in the time that is allowed.
    pub async fn is_dropped_in_time(&self) -> bool {
        let began_at = Instant::now();
        while began_at.elapsed() < GONE_TIME {
            if self.dropped.load(Ordering::Relaxed) > 0 {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Returns how long it takes until a request is dropped.
    pub async fn drop_time(&self) -> Duration {
        let left_at = Instant::now();
        wait_until("the request is dropped", || self.dropped.load(Ordering::Relaxed) > 0).await;
        left_at.elapsed()
    }
}

/// Returns the number of successful answers on a connection.
pub fn final_answers(received: &str) -> usize {
    received.matches("HTTP/1.1 200 OK").count()
}
