//! Finds and mends a gap in the bundles of this VM, by the versions and digests in heartbeats.
//!
//! A VM whose log reading is behind, or that has no bundle because it started while the platform
//! was out of reach, takes the snapshot of a VM that is ahead. It checks every signature from the
//! root operators on.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use crate::core::clock::read_clock;
use crate::core::control_traffic::ControlKind;
use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::put_bundle::adopt_bundle_snapshot;
use sassafrashoist_bundle::bundle_snapshot::BundleSnapshot;
use sassafrashoist_core::ids::{BundleVersion, Timestamp, VmId};
use sassafrashoist_core::invariants::Invariant;
use sassafrashoist_core::membership::member_state::MemberState;

/// Time between two looks at the versions of others.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// How long the log is given to bring a newer version before another VM is asked.
const LOG_GRACE: Duration = Duration::from_millis(1_500);
/// VMs that are asked in one look.
const MAX_ASKED: usize = 2;

/// Looks for a gap until the process stops.
pub async fn mend_bundles(context: Arc<RouterContext>) {
    let mut interval = tokio::time::interval(LOOK_INTERVAL);
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
            take_snapshot(&context, &ahead).await;
        }
    }
}

/// Returns the VMs with a newer bundle, those of the own data centre first, and asserts that no
/// other has another bundle of the same version.
fn find_vms_ahead(context: &RouterContext) -> Vec<VmId> {
    let (own_version, own_digest) = match context.tables.bundle() {
        Some(bundle) => (bundle.version(), bundle.signed.digest_sha256.clone()),
        None => (0, String::new()),
    };
    let own_data_centre_id = &context.settings.data_centre_id;
    let mut ahead = Vec::new();
    let mut differing = Vec::new();
    for member in context.tables.lock_membership().members() {
        let known = &member.bundle;
        if known.version == own_version && known.version > 0 && known.digest_sha256 != own_digest {
            differing.push(member.update.vm_id.clone());
        }
        if known.version > own_version && member.update.state != MemberState::Gone {
            let is_elsewhere = member.update.data_centre_id != *own_data_centre_id;
            ahead.push((is_elsewhere, member.update.vm_id.clone()));
        }
    }
    for vm_id in differing {
        let subject = format!("bundle {own_version} differs on VM {vm_id}");
        context.invariants.check(false, Invariant::RevertedBundles, &subject);
    }
    ahead.sort();
    ahead.into_iter().map(|(_, vm_id)| vm_id).collect()
}

async fn take_snapshot(context: &RouterContext, vm_ids: &[VmId]) {
    for vm_id in vm_ids.iter().take(MAX_ASKED) {
        match fetch_snapshot(context, vm_id).await {
            Ok(Some(snapshot)) => return adopt_bundle_snapshot(context, vm_id, snapshot),
            Ok(None) => {}
            Err(error) => log::warn!("failed to take a bundle from VM {vm_id}: {error}"),
        }
    }
}

async fn fetch_snapshot(
    context: &RouterContext,
    vm_id: &str,
) -> Result<Option<BundleSnapshot>, PeerError> {
    let request = context.peers.request(&())?;
    context.traffic.count(ControlKind::Snapshot, request.get_ref().payload.len());
    let answer = context.peers.fleet_client(vm_id)?.snapshot(request).await;
    if let Ok(envelope) = &answer {
        context.traffic.count(ControlKind::Snapshot, envelope.get_ref().payload.len());
    }
    let json: Vec<u8> = decode_response(vm_id, answer)?;
    Ok(serde_json::from_slice(&json).unwrap_or_default())
}
