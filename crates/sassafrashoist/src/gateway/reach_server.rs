//! Opens the connection of an attempt to a backend server, through another VM if this VM has lost its
//! own path.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::relay_vms::{RelayFailure, RelayTarget};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_paths::Way;
use sassafrashoist_core::ids::VmId;

use super::gateway_context::GatewayContext;
use super::http_connection::{Connection, NotConnected};
use super::open_relay::{open_relay, relay_request};
use super::relay_messages::{RelayOutcome, RelayPurpose};
use super::relay_use::RelayUse;

/// How long a connection to a backend server may take to open: many times the network latency, but
/// less than the second after which TCP retransmits a lost first packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// The number of VMs that are asked to open one connection.
const MAX_RELAYS_TRIED: usize = 6;
/// The number of other VMs that a server is out of reach for before it counts as down.
const DENIALS_TO_CONFIRM: usize = 2;
/// How much longer than the request another VM keeps its connection.
const RELAY_MARGIN: Duration = Duration::from_millis(500);

/// The error when a server is reached neither by this VM nor through another.
#[derive(Debug, thiserror::Error)]
pub enum NotReached {
    /// The connection of this VM did not open, and no other VM reached the server.
    #[error("{direct}; other VM: {others}")]
    Direct {
        /// The error of this VM's connection.
        direct: NotConnected,
        /// What became of the connections of others.
        others: &'static str,
    },
    /// This VM has no path to the server, and no other VM could help.
    #[error("path to the server lost; other VM: {0}")]
    PathLost(&'static str),
}

/// Opens a connection to a server within the time that is left for its request.
///
/// # Errors
///
/// Fails if neither this VM nor another one reaches the server; nothing was sent then.
pub async fn reach_server(
    context: &Arc<GatewayContext>,
    listing: &ServerListing,
    time_left: Duration,
) -> Result<(Connection, Option<RelayUse>), NotReached> {
    let server_id = listing.id.as_str();
    let way = context.lock_paths().way_to(&listing.pool_id, server_id, context.now());
    let direct = match way {
        Way::Direct => {
            let began_at = context.now();
            let opened = Connection::open(listing.address, CONNECT_TIMEOUT.min(time_left)).await;
            let now = context.now();
            context.lock_link().delay.record(now.saturating_sub(began_at), now);
            match opened {
                Ok(connection) => {
                    context.record_opened(&listing.pool_id, server_id);
                    return Ok((connection, None));
                }
                Err(error) => error,
            }
        }
        Way::Relayed => {
            return match relay(context, listing, time_left).await {
                Ok((connection, relay_use)) => Ok((connection, Some(relay_use))),
                Err(reason) => Err(NotReached::PathLost(reason)),
            };
        }
        Way::None => return Err(NotReached::PathLost("none could help a moment ago")),
    };
    context.record_failed(server_id);
    let now = context.now();
    // On a full link connections open late, which shows nothing about paths.
    let is_link_full = context.lock_link().is_full(now);
    let is_asked = !is_link_full && {
        let paths = context.lock_paths();
        paths.may_ask_others(&listing.pool_id, now) && !paths.is_confirmed_down(server_id, now)
    };
    if !is_asked {
        return Err(NotReached::Direct { direct, others: "not asked again" });
    }
    match relay(context, listing, time_left).await {
        Ok((connection, relay_use)) => {
            context.record_path_lost(listing, relay_use.vm_id(), &direct);
            Ok((connection, Some(relay_use)))
        }
        Err(others) => Err(NotReached::Direct { direct, others }),
    }
}

/// Opens a connection through another VM.
async fn relay(
    context: &Arc<GatewayContext>,
    listing: &ServerListing,
    time_left: Duration,
) -> Result<(Connection, RelayUse), &'static str> {
    let others = context.other_vms();
    let give_up_at = context.now() + time_left;
    let purpose = RelayPurpose::Carry(time_left.saturating_add(RELAY_MARGIN));
    let request = relay_request(context, listing, purpose);
    let mut tried = Vec::new();
    let mut denied_by = Vec::new();
    // A VM that does not reach this server, or does not know it, may reach the others of the pool.
    let mut is_pool_out_of_reach = true;
    for _ in 0..MAX_RELAYS_TRIED {
        let now = context.now();
        if now >= give_up_at {
            return Err("no time left");
        }
        let Some(helper) = choose_helper(context, &others, listing, &tried) else {
            if is_pool_out_of_reach {
                context.lock_paths().record_no_relay(&listing.pool_id, now);
            }
            break;
        };
        tried.push(helper.vm_id.clone());
        let relay_use = RelayUse::begin(context, &helper.vm_id);
        let outcome = match open_relay(helper.peer_address, &request).await {
            Ok(connection) => {
                count_relay("opened");
                for vm_id in &denied_by {
                    record_failure(context, vm_id, listing, RelayFailure::NoPath);
                }
                return Ok((connection, relay_use));
            }
            Err(outcome) => outcome,
        };
        count_relay("failed");
        let failure = match outcome {
            Some(RelayOutcome::Refused | RelayOutcome::Unreachable) => {
                is_pool_out_of_reach = false;
                record_failure(context, &helper.vm_id, listing, RelayFailure::Denied);
                denied_by.push(helper.vm_id);
                if denied_by.len() < DENIALS_TO_CONFIRM {
                    continue;
                }
                break;
            }
            Some(RelayOutcome::NoPath) => RelayFailure::NoPath,
            Some(RelayOutcome::Busy) => RelayFailure::Busy,
            Some(RelayOutcome::UnknownServer) => {
                is_pool_out_of_reach = false;
                RelayFailure::UnknownServer
            }
            Some(RelayOutcome::UnknownSender | RelayOutcome::Reached) => RelayFailure::NotServed,
            None => RelayFailure::NoResponse,
        };
        record_failure(context, &helper.vm_id, listing, failure);
    }
    if denied_by.is_empty() {
        return Err("no help");
    }
    context.lock_paths().record_confirmed_down(&listing.id, context.now());
    Err("not reached either")
}

fn choose_helper(
    context: &GatewayContext,
    others: &[FleetVm],
    listing: &ServerListing,
    tried: &[VmId],
) -> Option<FleetVm> {
    let target = RelayTarget { pool_id: &listing.pool_id, data_centre_id: &listing.data_centre_id };
    let relays = context.lock_relays();
    relays.choose(others, target, tried, rand::random(), context.now()).cloned()
}

fn record_failure(
    context: &GatewayContext,
    vm_id: &VmId,
    listing: &ServerListing,
    failure: RelayFailure,
) {
    log::info!(
        vm = vm_id, server = listing.id, failure:? = failure;
        "another VM does not help"
    );
    context.lock_relays().record_failure(vm_id, &listing.pool_id, failure, context.now());
}

fn count_relay(outcome: &'static str) {
    metrics::counter!("sassafrashoist_relayed_connections_total", "outcome" => outcome)
        .increment(1);
}
