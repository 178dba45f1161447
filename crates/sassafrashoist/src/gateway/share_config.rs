//! Tells the other VMs of the data centre which configuration is in force, and sends it to those that
//! ask for it.

use std::net::SocketAddr;
use std::sync::Arc;

use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::config_readers::ConfigReaders;
use sassafrashoist_core::gateway::config_sharing::Heard;

use super::config_messages::{ConfigRequest, ConfigResponse};
use super::gateway_context::GatewayContext;
use super::peer_datagram::PeerDatagram;
use super::share_evacuations::{append_orders, receive_orders};

/// The most bytes of the difference between two documents in a message.
const MAX_DELTA_BYTES: usize = 60_000;
/// The most requests for a configuration that this VM serves at a time.
pub const MAX_SERVED_FETCHES: usize = 32;

/// Returns which VMs of the data centre read the configuration from the log service, and records the
/// part of this VM.
pub fn update_role(context: &GatewayContext) -> ConfigReaders {
    let now = context.now();
    let readers = ConfigReaders::select(&context.lock_tokens().issuers.live_vms, now);
    context.lock_config_sharing().record_role(&readers);
    readers
}

/// Tells the other VMs of the data centre what is in force, if this VM reads the log service for them
/// and does not stop.
pub fn announce_config(context: &GatewayContext) {
    let neighbours = update_role(context).neighbours;
    let announcement = context.lock_config_sharing().announcement(context.now());
    let Some(announcement) = announcement.filter(|_| !context.draining.is_cancelled()) else {
        return;
    };
    let mut datagram = match postcard::to_stdvec(&PeerDatagram::ConfigAnnounced(announcement)) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::error!(error:% = error; "failed to encode the announcement of a configuration");
            return;
        }
    };
    append_orders(context, &mut datagram);
    let Some(socket) = context.datagram_socket() else {
        return;
    };
    let mut last_error = None;
    let mut failed_count = 0;
    for vm in &neighbours {
        if let Err(error) = socket.try_send_to(&datagram, vm.peer_address) {
            failed_count += 1;
            last_error = Some(error);
        }
    }
    if let Some(error) = last_error {
        log::info!(
            version = announcement.version, vms = failed_count, error:% = error;
            "configuration not announced to other VMs"
        );
    }
}

/// Receives the announcement of another VM of the data centre, and the orders behind it.
pub fn receive_announcement(
    context: &GatewayContext,
    announced: &ConfigAnnouncement,
    orders: &[u8],
    sender: SocketAddr,
) {
    let neighbours = update_role(context).neighbours;
    let Some(vm) = neighbours.iter().find(|vm| vm.peer_address == sender) else {
        log::debug!(from:% = sender; "configuration announced by a VM that is not known here");
        return;
    };
    // Before the configuration counts as recent, on which serving depends.
    receive_orders(context, orders, &vm.vm_id);
    let now = context.now();
    // A datagram that waited in this VM looks as if it had been sent now.
    let known_ago = announced.known_ago + context.longest_datagram_wait();
    let announced = ConfigAnnouncement { known_ago, ..*announced };
    let heard = context.lock_config_sharing().hear(vm, &announced, rand::random(), now);
    match heard {
        Heard::Confirmed(at) => context.record_config_announced(at),
        Heard::Newer(version) => {
            context.record_config_heard(version);
            context.record_config_contact();
            context.config_heard.notify_one();
        }
        Heard::Nothing => {}
    }
}

/// Responds to the request of another VM for the configuration.
pub fn answer_fetch(context: &Arc<GatewayContext>, request: &ConfigRequest) -> ConfigResponse {
    let document = context.lock_config_sharing().document();
    let document = document.filter(|document| document.version >= request.version);
    let response = match document {
        Some(document) => match document.content.delta_to(&request.chunk_hashes, MAX_DELTA_BYTES) {
            Some(delta) => ConfigResponse::Document { version: document.version, delta },
            None => ConfigResponse::TooLong,
        },
        None => ConfigResponse::NoSuchVersion,
    };
    let outcome = match &response {
        ConfigResponse::Document { .. } => "sent",
        ConfigResponse::NoSuchVersion => "no such version",
        ConfigResponse::TooLong => "too long",
        ConfigResponse::Busy => "busy",
    };
    count_served(outcome);
    response
}

/// Counts a request of another VM for the configuration.
pub fn count_served(outcome: &'static str) {
    metrics::counter!("sassafrashoist_config_fetches_served_total", "outcome" => outcome)
        .increment(1);
}
