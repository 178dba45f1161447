//! Adds records and snapshots to the bundle chain, and activates the bundle that it accepts.

use std::sync::Arc;

use crate::core::active_bundle::ActiveBundle;
use crate::core::clock::read_clock;
use crate::core::router_context::RouterContext;
use sassafrashoist_bundle::backend_server::BackendServer;
use sassafrashoist_bundle::bundle_chain::{BundleChain, RecordOutcome};
use sassafrashoist_bundle::bundle_record::BundleEvent;
use sassafrashoist_bundle::bundle_snapshot::BundleSnapshot;
use sassafrashoist_bundle::signed_bundle::{BundleRefusal, SignedBundle};
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::{LogOffset, Timestamp, VmId};
use sassafrashoist_core::invariants::Invariant;
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::server_view::{LoadReport, ServerView};

/// Applies a record of the bundle stream.
pub fn apply_bundle_record(context: &RouterContext, offset: LogOffset, event: BundleEvent) {
    let outcome = {
        let mut chain = context.tables.lock_bundle_chain();
        let outcome = chain.apply_record(offset, event);
        activate_if_newer(context, &chain);
        outcome
    };
    match outcome {
        RecordOutcome::Refused(refusal) => {
            record_refusal(context, &format!("offset {offset}"), &refusal)
        }
        RecordOutcome::Deferred => {
            log::warn!("bundle record at offset {offset} waits for a snapshot")
        }
        RecordOutcome::Accepted | RecordOutcome::Unchanged => {}
    }
}

/// Adopts the snapshot of another VM.
pub fn adopt_bundle_snapshot(context: &RouterContext, from: &VmId, snapshot: BundleSnapshot) {
    let version = snapshot.version();
    let adopted = {
        let mut chain = context.tables.lock_bundle_chain();
        let adopted = chain.adopt(snapshot);
        activate_if_newer(context, &chain);
        adopted
    };
    match adopted {
        Ok(true) => {
            let reason = format!("version {version} adopted from VM {from}");
            context.record_decision("", DecisionKind::Bundle, ResultCode::Done, reason);
        }
        Ok(false) => {}
        Err(refusal) => {
            let has_other_content = matches!(refusal, BundleRefusal::OtherContent(_));
            let subject = format!("bundle {version} of VM {from}");
            context.invariants.check(!has_other_content, Invariant::RevertedBundles, &subject);
            record_refusal(context, &subject, &refusal);
        }
    }
}

/// Skips a record that cannot be decoded.
pub fn skip_bundle_record(context: &RouterContext, offset: LogOffset, reason: &str) {
    context.tables.lock_bundle_chain().skip_record(offset);
    let reason = format!("offset {offset} refused: {reason}");
    context.record_decision("", DecisionKind::Bundle, ResultCode::BundleRefused, reason);
}

fn record_refusal(context: &RouterContext, subject: &str, refusal: &BundleRefusal) {
    log::warn!("bundle refused: {subject}: {refusal}");
    let reason = format!("{subject} refused: {refusal}");
    context.record_decision("", DecisionKind::Bundle, ResultCode::BundleRefused, reason);
}

/// Activates the chain's bundle if it is newer than the active one. The caller must hold the
/// chain's lock, so that two callers cannot activate their bundles in the wrong order.
fn activate_if_newer(context: &RouterContext, chain: &BundleChain) {
    let Some(accepted) = chain.active_bundle() else { return };
    let version = accepted.bundle.version;
    if let Some(active) = context.tables.bundle() {
        let is_same = active.signed.digest_sha256 == accepted.digest_sha256;
        if is_same {
            return;
        }
        let is_newer = version > active.version();
        context.invariants.check(
            is_newer,
            Invariant::RevertedBundles,
            &format!("bundle {version}"),
        );
        if !is_newer {
            return;
        }
    }
    activate(context, accepted.clone());
}

fn activate(context: &RouterContext, signed: SignedBundle) {
    let bundle = ActiveBundle::new(signed);
    let version = bundle.version();
    let now = read_clock();
    let servers =
        bundle.signed.bundle.backend_servers.iter().map(|server| build_server_view(server, now));
    context.tables.lock_routing().replace_servers(servers.collect());
    context.tables.set_bundle(Arc::new(bundle));
    let reason = format!("version {version} is in force");
    context.record_decision("", DecisionKind::Bundle, ResultCode::Done, reason);
    log::info!(version = version; "bundle is in force");
}

fn build_server_view(server: &BackendServer, now: Timestamp) -> ServerView {
    ServerView {
        server_id: server.id.clone(),
        data_centre_id: server.data_centre_id.clone(),
        pool_id: server.pool_id.clone(),
        address: server.address.to_string(),
        model_ids: server.kind.model_ids().iter().cloned().collect(),
        slot_count: server.kind.slot_count(),
        leaving_since: server.is_leaving.then_some(now),
        load: LoadReport::default(),
        in_flight_count: 0,
    }
}
