//! Receives the datagrams of other VMs.

use std::sync::Arc;

use sassafrashoist_core::gateway::line_limit::LineLimit;
use tokio::net::UdpSocket;

use super::gateway_context::GatewayContext;
use super::peer_datagram::{MAX_DATAGRAM_BYTES, PeerDatagram};
use super::share_config::receive_announcement;
use super::share_crashes::{compare_digest, receive_report};
use super::share_rejections::{receive_end, receive_rejection};

/// The most lines a second about datagrams that cannot be decoded; VMs of another build may send
/// them all the time.
const MAX_MALFORMED_LINES_PER_S: u32 = 1;

/// Receives the datagrams of other VMs until cancelled.
pub async fn receive_datagrams(context: Arc<GatewayContext>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut malformed_limit = LineLimit::new(MAX_MALFORMED_LINES_PER_S);
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            () = context.cancel.cancelled() => return,
        };
        let (length, sender) = match received {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:% = error; "failed to receive a datagram");
                continue;
            }
        };
        match postcard::take_from_bytes::<PeerDatagram>(&buffer[..length]) {
            Ok((PeerDatagram::StreamBegun(begun), _)) => {
                let now = context.now();
                context.lock_streams().record(begun.key, begun.origin, now);
            }
            Ok((PeerDatagram::CrashReport(report), _)) => receive_report(&context, &report),
            Ok((PeerDatagram::ServerRejects(rejects), _)) => receive_rejection(&context, &rejects),
            Ok((PeerDatagram::BrittleEnd(end), _)) => receive_end(&context, &end),
            Ok((PeerDatagram::ConfigAnnounced(announced), orders)) => {
                receive_announcement(&context, &announced, orders, sender);
            }
            Ok((PeerDatagram::CrashDigest(digest), _)) => compare_digest(&context, digest, sender),
            Err(error) => {
                if let Some(unlogged) = malformed_limit.record(context.now()) {
                    log::warn!(
                        sender:% = sender, error:% = error, unlogged = unlogged;
                        "malformed datagram"
                    );
                }
            }
        }
    }
}
