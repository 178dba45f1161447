//! Reads records of a log stream for the followers of this process.
//!
//! One VM of a data centre reads a stream from the platform and the others read it from that VM, so
//! the platform's load does not grow with the VMs of a data centre. A VM that finds the reader
//! quiet asks the next in rank, and reads the platform itself when nobody else can help.

use std::time::Duration;

use crate::core::clock::read_clock;
use crate::core::control_traffic::ControlKind;
use crate::core::peer_clients::{PeerError, unwrap_answer};
use crate::core::relay_messages::{RelayAnswer, RelayCall, RelayedRecord};
use crate::core::router_context::RouterContext;
use sassafrashoist_core::ids::{Timestamp, VmId};
use sassafrashoist_platform::log_client::{ReadError, ReadRange};
use sassafrashoist_platform::wire::{LogRecord, RecordPage};

/// Time beyond a relay call's own wait after which the reader counts as quiet.
const RELAY_GRACE: Duration = Duration::from_millis(800);

/// Reads records of a stream, from another VM of the data centre or from the platform's log.
///
/// # Errors
///
/// Fails when the offset was trimmed or neither another VM nor the log can be reached.
pub async fn read_stream(
    context: &RouterContext,
    stream: &str,
    range: ReadRange,
) -> Result<RecordPage, ReadError> {
    for vm_id in choose_readers(context, stream) {
        match read_relay(context, &vm_id, stream, range).await {
            Ok(RelayAnswer::Page { records, earliest_offset, end_offset, age }) => {
                let records = records.into_iter().map(to_log_record).collect();
                let page = RecordPage { records, earliest_offset, end_offset };
                let heard_at = read_clock().saturating_sub(age);
                store_page(context, stream, range, &page, Some(vm_id), heard_at);
                return Ok(page);
            }
            Ok(RelayAnswer::NotHeld) => break,
            Ok(RelayAnswer::Quiet) | Err(_) => {
                context.tables.lock_relay().choice.record_quiet(&vm_id, read_clock());
            }
        }
    }
    let page = context.platform.read(stream, range).await?;
    store_page(context, stream, range, &page, None, read_clock());
    Ok(page)
}

fn choose_readers(context: &RouterContext, stream: &str) -> Vec<VmId> {
    let own = &context.settings;
    let eligible = context.tables.lock_membership().eligible_of(&own.data_centre_id);
    let mut relay = context.tables.lock_relay();
    relay.choice.choose_readers(stream, &eligible, &own.vm_id, read_clock())
}

async fn read_relay(
    context: &RouterContext,
    vm_id: &str,
    stream: &str,
    range: ReadRange,
) -> Result<RelayAnswer, PeerError> {
    let call = RelayCall {
        stream: stream.to_owned(),
        from_offset: range.from_offset,
        max_count: range.max_count as u32,
        wait: range.wait,
    };
    let timeout = range.wait + RELAY_GRACE;
    let request = context.peers.request_within(&call, timeout)?;
    context.traffic.count(ControlKind::Relay, request.get_ref().payload.len());
    let mut client = context.peers.fleet_client(vm_id)?;
    let answer = tokio::time::timeout(timeout, client.relay(request))
        .await
        .unwrap_or_else(|_| Err(tonic::Status::deadline_exceeded("relay")));
    if let Ok(envelope) = &answer {
        context.traffic.count(ControlKind::Relay, envelope.get_ref().payload.len());
    }
    unwrap_answer(vm_id, answer)
}

fn store_page(
    context: &RouterContext,
    stream: &str,
    range: ReadRange,
    page: &RecordPage,
    reader_vm_id: Option<VmId>,
    heard_at: Timestamp,
) {
    let mut relay = context.tables.lock_relay();
    relay.store(stream, range.from_offset, page, reader_vm_id, heard_at);
    drop(relay);
    if !page.records.is_empty() {
        context.tables.relay_arrived.notify_waiters();
    }
}

fn to_log_record(record: RelayedRecord) -> LogRecord {
    LogRecord { offset: record.offset, payload: record.payload }
}
