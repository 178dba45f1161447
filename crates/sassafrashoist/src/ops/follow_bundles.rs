//! Follows the bundle stream and puts accepted bundles in force.

use std::sync::Arc;
use std::time::Duration;

use crate::core::active_bundle::ActiveBundle;
use crate::core::clock::read_clock;
use crate::core::router_context::RouterContext;
use crate::ops::read_stream::read_stream;
use sassafrashoist_bundle::backend_server::BackendServer;
use sassafrashoist_bundle::bundle_record::{BUNDLE_RECORD_VERSION, BundleRecord};
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::{LogOffset, Timestamp};
use sassafrashoist_core::invariants::Promise;
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::server_view::{LoadReport, ServerView};
use sassafrashoist_platform::log_client::ReadRange;
use sassafrashoist_platform::streams::BUNDLE_STREAM;
use sassafrashoist_platform::wire::LogRecord;

/// Records read at once.
const PAGE_COUNT: usize = 50;
/// How long a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Time before a failed read is tried again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Follows the bundle stream until the process stops.
pub async fn follow_bundles(context: Arc<RouterContext>) {
    while !context.cancel.is_cancelled() {
        let from_offset = context.tables.lock_bundle_chain().next_offset;
        let range = ReadRange { from_offset, max_count: PAGE_COUNT, wait: READ_WAIT };
        match read_stream(&context, BUNDLE_STREAM, range).await {
            Ok(page) => page.records.iter().for_each(|record| fold_record(&context, record)),
            Err(error) => {
                log::warn!("failed to follow bundles: {error}");
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

fn fold_record(context: &RouterContext, record: &LogRecord) {
    let decoded: BundleRecord = match serde_json::from_slice(&record.payload) {
        Ok(decoded) => decoded,
        Err(error) => return skip_record(context, record.offset, &error.to_string()),
    };
    if decoded.record_version != BUNDLE_RECORD_VERSION {
        return skip_record(context, record.offset, "unknown record version");
    }
    let applied = context.tables.lock_bundle_chain().apply(record.offset, decoded.proposal.clone());
    match applied {
        Ok(()) => put_in_force(context, ActiveBundle::new(decoded.proposal)),
        Err(refusal) => log::warn!("bundle at offset {} refused: {refusal}", record.offset),
    }
}

fn skip_record(context: &RouterContext, offset: LogOffset, reason: &str) {
    log::warn!("bundle record at offset {offset} refused: {reason}");
    context.tables.lock_bundle_chain().next_offset = offset + 1;
}

fn put_in_force(context: &RouterContext, bundle: ActiveBundle) {
    let version = bundle.version();
    let previous = context.tables.bundle().map_or(0, |previous| previous.version());
    let subject = format!("bundle {version}");
    context.invariants.check(version > previous, Promise::RevertedBundles, &subject);
    let now = read_clock();
    let servers =
        bundle.signed.bundle.backend_servers.iter().map(|server| view_server(server, now));
    context.tables.lock_routing().replace_servers(servers.collect());
    context.tables.set_bundle(Arc::new(bundle));
    let reason = format!("version {version} is in force");
    context.record_decision("", DecisionKind::Bundle, ResultCode::Done, reason);
    log::info!(version = version; "bundle is in force");
}

fn view_server(server: &BackendServer, now: Timestamp) -> ServerView {
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
