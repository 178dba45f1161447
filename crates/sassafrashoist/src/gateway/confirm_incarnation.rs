//! Asks other VMs whether a backend server may have started again under its id.

use std::sync::Arc;

use eyre::WrapErr;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sassafrashoist_core::gateway::incarnation_check::{IncarnationCheck, ListedIncarnation};
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::server_listing::ServerListing;

use super::gateway_context::GatewayContext;
use super::open_relay::relay_request;
use super::relay_messages::{RELAY_PATH, RelayOutcome, RelayPurpose, RelayRequest};
use super::send_message::send_message;

/// The VMs that are asked, at first one in each data centre; this VM may be among them.
const SELECTED_VM_COUNT: usize = 4;

/// Returns whether a stream may go on at a server as far as the incarnation of its listing is
/// concerned. Other VMs are asked only if this VM has not read of the server just now.
pub async fn confirm_incarnation(context: &Arc<GatewayContext>, listing: &ServerListing) -> bool {
    let now = context.now();
    let knowledge_age = context.lock_servers().incarnation_age(listing, now);
    let own_id = context.settings().vm_id.clone();
    let mut others =
        context.lock_tokens().issuers.live_vms.spread(&listing.id, SELECTED_VM_COUNT, now);
    others.retain(|vm| vm.vm_id != own_id);
    let Some(mut check) = IncarnationCheck::begin(knowledge_age, others.len()) else {
        return true;
    };
    let request = relay_request(context, listing, RelayPurpose::Probe);
    let mut answers: FuturesUnordered<_> = others.iter().map(|vm| ask(vm, &request)).collect();
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(Some(view)) if check.record(view) => break,
            Ok(_) => {}
            Err(error) => {
                log::info!(
                    server = listing.id, error:% = format!("{error:#}");
                    "incarnation of a server not confirmed by another VM"
                );
            }
        }
    }
    check.is_confirmed()
}

async fn ask(vm: &FleetVm, request: &RelayRequest) -> eyre::Result<Option<ListedIncarnation>> {
    let body = send_message(vm.peer_address, RELAY_PATH, request).await?;
    let outcome = postcard::from_bytes(&body).wrap_err("failed to decode the response")?;
    Ok(match outcome {
        RelayOutcome::UnknownServer => Some(ListedIncarnation::Other),
        // The VM compares the incarnation before it connects.
        RelayOutcome::Reached
        | RelayOutcome::Refused
        | RelayOutcome::Unreachable
        | RelayOutcome::NoPath => Some(ListedIncarnation::Same),
        RelayOutcome::Busy | RelayOutcome::UnknownSender => None,
    })
}
