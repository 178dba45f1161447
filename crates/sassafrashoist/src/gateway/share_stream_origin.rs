//! Sends the origins of streams to the VMs that keep them.

use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::stream_origins::{StreamOrigin, stream_key};

use super::gateway_context::GatewayContext;
use super::peer_datagram::{MAX_DATAGRAM_BYTES, PeerDatagram};
use super::request_context::{RequestContext, ResumedStream};
use super::stream_origin_messages::StreamBegun;

/// The number of VMs that keep the origin of a stream.
pub const KEEPER_COUNT: usize = 3;

/// Records where a stream began, before its first event is forwarded, and returns it; `None` if the
/// software version of its server is not certain.
///
/// A stream that its caller resumes keeps its origin.
pub fn record_origin(
    context: &GatewayContext,
    request: &RequestContext,
    listing: &ServerListing,
) -> Option<ResumedStream> {
    if request.resumed.is_some() {
        return request.resumed.clone();
    }
    let now = context.now();
    if !context.lock_servers().is_version_certain(listing, now) {
        log::info!(
            id = request.id(), server = listing.id;
            "stream cannot be resumed: the server may have started again"
        );
        return None;
    }
    let origin = StreamOrigin {
        pool_id: listing.pool_id.clone(),
        server_id: listing.id.clone(),
        started_at_unix_ms: listing.started_at_unix_ms,
        software_version: listing.software_version.clone(),
        account_id: request.account_id.clone(),
    };
    if request.is_resumable() {
        send_to_keepers(context, request.id(), &origin);
    }
    Some(ResumedStream { origin, began_at: now })
}

fn send_to_keepers(context: &GatewayContext, request_id: &str, origin: &StreamOrigin) {
    let key = stream_key(request_id);
    let now = context.now();
    context.lock_streams().record(key, origin.clone(), now);
    let keepers = context.lock_tokens().issuers.live_vms.spread(request_id, KEEPER_COUNT, now);
    let own_id = context.settings().vm_id.clone();
    let message = PeerDatagram::StreamBegun(StreamBegun { key, origin: origin.clone() });
    let datagram = match postcard::to_stdvec(&message) {
        Ok(datagram) if datagram.len() <= MAX_DATAGRAM_BYTES => datagram,
        Ok(datagram) => {
            log::warn!(id = request_id, bytes = datagram.len(); "origin of a stream is too long");
            return;
        }
        Err(error) => {
            log::error!(id = request_id, error:% = error; "failed to encode the origin of a stream");
            return;
        }
    };
    for keeper in keepers.iter().filter(|keeper| keeper.vm_id != own_id) {
        if let Some(socket) = context.datagram_socket()
            && let Err(error) = socket.try_send_to(&datagram, keeper.peer_address)
        {
            log::info!(
                id = request_id, vm = keeper.vm_id, error:% = error;
                "origin of a stream not sent to another VM"
            );
        }
    }
}
