//! Tells the other VMs that use a brittle server that it turned a request away. A brittle server fails
//! if it has to do so too often.

use sassafrashoist_core::gateway::brittle_users::BrittleUsers;
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_state::RejectedBy;
use sassafrashoist_core::ids::BackendServerId;
use serde::{Deserialize, Serialize};

use super::gateway_context::GatewayContext;
use super::peer_datagram::PeerDatagram;
use super::send_attempt::ServerSlot;

/// Tells another VM that a server has just turned a request away.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRejects {
    /// The server.
    pub server_id: BackendServerId,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_at_unix_ms: u64,
    /// How many requests it can turn away in a second, from all VMs together, without failing.
    pub max_rejections_per_s: u32,
}

/// Tells another VM that a server no longer says that it is brittle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleEnd {
    /// The server.
    pub server_id: BackendServerId,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_at_unix_ms: u64,
}

/// Records that a server turned a request away. The VMs that use it pause if it says that it fails
/// after a few rejections.
pub fn record_rejection(context: &GatewayContext, slot: &ServerSlot) {
    let server_id = slot.server_id().to_owned();
    let max_rejections_per_s =
        context.lock_servers().server(&server_id).and_then(|server| server.max_rejections_per_s);
    let Some(max_rejections_per_s) = max_rejections_per_s else {
        return;
    };
    let others = context.other_vms();
    let users = find_users(context, &others, &server_id, &slot.listing().pool_id);
    pause_server(context, &server_id, RejectedBy::ThisVm { vm_count: users.count });
    let rejects = ServerRejects {
        server_id,
        started_at_unix_ms: slot.listing().started_at_unix_ms,
        max_rejections_per_s,
    };
    let to = others.iter().filter(|vm| users.selected.contains(&vm.vm_id));
    send_to(context, to, &PeerDatagram::ServerRejects(rejects));
}

/// Records how many rejections a second a server says that it tolerates, and finds out whether this VM
/// uses it meanwhile.
pub fn record_brittle(
    context: &GatewayContext,
    listing: &ServerListing,
    max_rejections_per_s: Option<u32>,
) {
    let now = context.now();
    let is_new = context.lock_servers().record_brittle(&listing.id, max_rejections_per_s, now);
    if is_new {
        log::info!(
            server = listing.id, max_rejections_per_s:? = max_rejections_per_s;
            "server says whether it fails after a few rejections"
        );
    }
    if is_new && max_rejections_per_s.is_none() {
        let end = BrittleEnd {
            server_id: listing.id.clone(),
            started_at_unix_ms: listing.started_at_unix_ms,
        };
        send_to(context, context.other_vms().iter(), &PeerDatagram::BrittleEnd(end));
    }
    if max_rejections_per_s.is_some()
        && (is_new || context.lock_servers().is_brittle_use_due(&listing.id, now))
    {
        let users = find_users(context, &context.other_vms(), &listing.id, &listing.pool_id);
        context.lock_servers().record_brittle_use(&listing.id, users.includes_own, now);
    }
}

fn find_users(
    context: &GatewayContext,
    others: &[FleetVm],
    server_id: &str,
    pool_id: &str,
) -> BrittleUsers {
    let own_vm_id = context.settings().vm_id.clone();
    let pool = context.lock_servers().servers_of(pool_id);
    let vm_ids: Vec<&str> =
        others.iter().map(|vm| vm.vm_id.as_str()).chain([own_vm_id.as_str()]).collect();
    BrittleUsers::find(server_id, &pool, &own_vm_id, &vm_ids)
}

/// Records that a server turned a request of another VM away.
pub fn receive_rejection(context: &GatewayContext, rejects: &ServerRejects) {
    let max_rejections_per_s = Some(rejects.max_rejections_per_s);
    if record_report(context, &rejects.server_id, rejects.started_at_unix_ms, max_rejections_per_s)
    {
        pause_server(context, &rejects.server_id, RejectedBy::AnotherVm);
    }
}

/// Records that a server no longer says to another VM that it is brittle.
pub fn receive_end(context: &GatewayContext, end: &BrittleEnd) {
    record_report(context, &end.server_id, end.started_at_unix_ms, None);
}

/// Records what a server said to another VM; returns whether it is about the server that this VM
/// knows under this id.
fn record_report(
    context: &GatewayContext,
    server_id: &str,
    started_at_unix_ms: u64,
    max_rejections_per_s: Option<u32>,
) -> bool {
    let mut servers = context.lock_servers();
    let started_at = servers.server(server_id).map(|server| server.listing.started_at_unix_ms);
    let is_known = started_at == Some(started_at_unix_ms);
    if is_known {
        servers.record_brittle(server_id, max_rejections_per_s, context.now());
    }
    is_known
}

fn pause_server(context: &GatewayContext, server_id: &str, by: RejectedBy) {
    let now = context.now();
    let pause = context.lock_servers().record_rejection(server_id, by, rand::random(), now);
    let by = match by {
        RejectedBy::ThisVm { .. } => "this VM",
        RejectedBy::AnotherVm => "another VM",
    };
    metrics::counter!("sassafrashoist_brittle_rejections_total", "by" => by).increment(1);
    log::info!(
        server = server_id, by = by, pause_ms = pause.unwrap_or_default().as_millis() as u64;
        "brittle server turned a request away"
    );
}

fn send_to<'a>(
    context: &GatewayContext,
    vms: impl Iterator<Item = &'a FleetVm>,
    message: &PeerDatagram,
) {
    let datagram = match postcard::to_stdvec(message) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::error!(error:% = error; "failed to encode a message about a brittle server");
            return;
        }
    };
    for vm in vms {
        if let Some(socket) = context.datagram_socket()
            && let Err(error) = socket.try_send_to(&datagram, vm.peer_address)
        {
            log::info!(
                vm = vm.vm_id, error:% = error;
                "message about a brittle server not sent to another VM"
            );
        }
    }
}
