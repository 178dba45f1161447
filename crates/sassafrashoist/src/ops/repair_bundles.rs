//! Anti-entropy repair of the bundle: detects by the versions and digests in heartbeats that other
//! VMs have a newer bundle, and fetches it from one of them.
//!
//! A VM that lags behind the log, or that has no bundle because it started while the platform was
//! unreachable, adopts the snapshot of a VM with a newer bundle. The snapshot's signatures are
//! verified from the root operators on.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use crate::core::clock::read_clock;
use crate::core::control_traffic::ControlKind;
use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::activate_bundle::adopt_bundle_snapshot;
use sassafrashoist_bundle::bundle_snapshot::BundleSnapshot;
use sassafrashoist_core::ids::{BundleVersion, Timestamp, VmId};
use sassafrashoist_core::invariants::Invariant;
use sassafrashoist_core::membership::member_state::MemberState;

/// Time between two checks of the other VMs' versions.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long this VM waits for the newer version from the log before it asks another VM. A VM
/// without a bundle does not wait.
const LOG_GRACE: Duration = Duration::from_millis(1_500);
/// The maximum number of VMs that are asked in one check.
const MAX_SOURCES: usize = 2;

/// Checks for newer bundles until the process stops.
pub async fn repair_bundles(context: Arc<RouterContext>) {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut behind_since: Option<(BundleVersion, Timestamp)> = None;
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = context.cancel.cancelled() => return,
        }
        let ahead = find_vms_ahead(&context);
        if ahead.is_empty() {
            behind_since = None;
            continue;
        }
        let own_version = context.tables.bundle().map_or(0, |bundle| bundle.version());
        let since = match behind_since {
            Some((version, since)) if version == own_version => since,
            _ => read_clock(),
        };
        behind_since = Some((own_version, since));
        let is_due = own_version == 0 || read_clock().saturating_sub(since) >= LOG_GRACE;
        if is_due {
            adopt_newer_bundle(&context, &ahead).await;
        }
    }
}

/// Returns the VMs with a newer bundle, those of this data centre first. Records a violation for
/// each VM that has another bundle of the same version.
fn find_vms_ahead(context: &RouterContext) -> Vec<VmId> {
    let (own_version, own_digest) = match context.tables.bundle() {
        Some(bundle) => (bundle.version(), bundle.signed.digest_sha256.clone()),
        None => (0, String::new()),
    };
    let own_data_centre_id = &context.settings.data_centre_id;
    let mut ahead = Vec::new();
    let mut differing = Vec::new();
    for member in context.tables.lock_membership().members() {
        let peer_bundle = &member.bundle;
        if peer_bundle.version == own_version
            && peer_bundle.version > 0
            && peer_bundle.digest_sha256 != own_digest
        {
            differing.push(member.update.vm_id.clone());
        }
        if peer_bundle.version > own_version && member.update.state != MemberState::Gone {
            let is_remote = member.update.data_centre_id != *own_data_centre_id;
            ahead.push((is_remote, member.update.vm_id.clone()));
        }
    }
    for vm_id in differing {
        let subject = format!("bundle {own_version} differs on VM {vm_id}");
        context.invariants.check(false, Invariant::RevertedBundles, &subject);
    }
    ahead.sort();
    ahead.into_iter().map(|(_, vm_id)| vm_id).collect()
}

async fn adopt_newer_bundle(context: &RouterContext, vm_ids: &[VmId]) {
    for vm_id in vm_ids.iter().take(MAX_SOURCES) {
        match fetch_snapshot(context, vm_id).await {
            Ok(Some(snapshot)) => return adopt_bundle_snapshot(context, vm_id, snapshot),
            Ok(None) => {}
            Err(error) => log::warn!("failed to fetch a bundle from VM {vm_id}: {error}"),
        }
    }
}

async fn fetch_snapshot(
    context: &RouterContext,
    vm_id: &str,
) -> Result<Option<BundleSnapshot>, PeerError> {
    let request = context.peers.request(&())?;
    context.traffic.count(ControlKind::Snapshot, request.get_ref().payload.len());
    let response = context.peers.fleet_client(vm_id)?.snapshot(request).await;
    if let Ok(envelope) = &response {
        context.traffic.count(ControlKind::Snapshot, envelope.get_ref().payload.len());
    }
    let json: Vec<u8> = decode_response(vm_id, response)?;
    Ok(serde_json::from_slice(&json).unwrap_or_default())
}
