//! Responds to callers for whose connections this VM has no room.
//!
//! In the backlog of the listener they would wait until they give up, and their requests would be read
//! after that. A caller that is told at once retries at another VM.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::response_headers::encode_refusal;
use tokio::net::TcpStream;

use super::caller_socket::CallerSocket;
use super::gateway_context::GatewayContext;

/// The retry delay; other VMs have room.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// The most callers that are sent a response at a time; the connections of others are closed at once.
pub const MAX_TURNED_AWAY_AT_A_TIME: usize = 64;

/// Responds that the request of a connection is not run, without reading it.
pub fn turn_away(context: &Arc<GatewayContext>, stream: TcpStream) {
    metrics::counter!("sassafrashoist_callers_turned_away_total").increment(1);
    context.record_turned_away("too many connections are open");
    let Ok(permit) = Arc::clone(&context.turned_away).try_acquire_owned() else {
        return;
    };
    tokio::spawn(async move {
        let response = encode_response(RETRY_AFTER.mul_f64(1.0 + rand::random::<f64>()));
        if let Err(error) = CallerSocket::new(stream).refuse(response.as_bytes()).await {
            log::debug!(error:% = error; "caller left before it was turned away");
        }
        drop(permit);
    });
}

fn encode_response(retry_after: Duration) -> String {
    let mut response =
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n".to_owned();
    for (name, value) in &encode_refusal(None, Some(retry_after)) {
        // Writing to a string does not fail.
        let _ = write!(response, "{name}: {}\r\n", String::from_utf8_lossy(value.as_bytes()));
    }
    response.push_str("\r\n");
    response
}
