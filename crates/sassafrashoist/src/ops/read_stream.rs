//! Reads records of a log stream for the tasks of this process that follow it.
//!
//! One VM of a data centre reads a stream from the platform and the others read it from that VM, so
//! the platform's load does not grow with the number of VMs in a data centre. A VM that finds the
//! reader unresponsive tries the next VM in rank, and reads from the platform itself when no other
//! VM can provide the records. If the platform cannot be reached either, the VM accepts the records
//! that another VM last received, so that a VM that starts during an outage of the platform gets
//! the state of the running VMs.

use std::time::Duration;

use crate::core::clock::read_clock;
use crate::core::control_traffic::ControlKind;
use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::relay_messages::{RelayRequest, RelayResponse, RelayedRecord};
use crate::core::router_context::RouterContext;
use sassafrashoist_core::ids::{LogOffset, Timestamp, VmId};
use sassafrashoist_platform::log_client::{ReadError, ReadRange};
use sassafrashoist_platform::wire::{LogRecord, RecordPage};

/// Time beyond a relay request's own wait after which the reader counts as unresponsive.
const RELAY_GRACE: Duration = Duration::from_millis(800);
/// The maximum number of VMs that are asked for possibly stale records when the platform cannot be
/// reached.
const MAX_STALE_SOURCES: usize = 2;

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
        match read_from_vm(context, &vm_id, build_relay_request(stream, range, false)).await {
            Ok(RelayResponse::Page { records, earliest_offset, end_offset, age }) => {
                let page = to_record_page(records, earliest_offset, end_offset);
                let received_at = read_clock().saturating_sub(age);
                store_page(context, stream, range, &page, Some(vm_id), received_at);
                return Ok(page);
            }
            Ok(RelayResponse::NotHeld) => break,
            Ok(RelayResponse::Stale) | Err(_) => {
                context.tables.lock_relay().reader_choice.record_unavailable(&vm_id, read_clock());
            }
        }
    }
    match context.platform.read(stream, range).await {
        Ok(page) => {
            store_page(context, stream, range, &page, None, read_clock());
            Ok(page)
        }
        Err(ReadError::Unavailable(reason)) => {
            match read_stale_records(context, stream, range).await {
                Some(page) => Ok(page),
                None => Err(ReadError::Unavailable(reason)),
            }
        }
        Err(error) => Err(error),
    }
}

/// Reads the records that another VM last received of a stream.
///
/// A page without records counts only if this VM has never received a page of the stream.
async fn read_stale_records(
    context: &RouterContext,
    stream: &str,
    range: ReadRange,
) -> Option<RecordPage> {
    let is_known = context.tables.lock_relay().has_stream(stream);
    for vm_id in choose_stale_sources(context) {
        let response =
            read_from_vm(context, &vm_id, build_relay_request(stream, range, true)).await;
        let Ok(RelayResponse::Page { records, earliest_offset, end_offset, age }) = response else {
            continue;
        };
        if records.is_empty() && is_known {
            continue;
        }
        let page = to_record_page(records, earliest_offset, end_offset);
        let received_at = read_clock().saturating_sub(age);
        store_page(context, stream, range, &page, Some(vm_id), received_at);
        return Some(page);
    }
    None
}

/// Returns reachable VMs, those of this VM's data centre first.
fn choose_stale_sources(context: &RouterContext) -> Vec<VmId> {
    let own_data_centre_id = &context.settings.data_centre_id;
    let members = context.tables.lock_membership();
    let mut sources: Vec<(bool, VmId)> = members
        .members()
        .filter(|member| member.is_reachable)
        .map(|member| (&member.update.data_centre_id != own_data_centre_id, &member.update.vm_id))
        .map(|(is_elsewhere, vm_id)| (is_elsewhere, vm_id.clone()))
        .collect();
    sources.sort();
    sources.into_iter().take(MAX_STALE_SOURCES).map(|(_, vm_id)| vm_id).collect()
}

fn build_relay_request(stream: &str, range: ReadRange, accepts_stale: bool) -> RelayRequest {
    RelayRequest {
        stream: stream.to_owned(),
        from_offset: range.from_offset,
        max_count: range.max_count as u32,
        wait: if accepts_stale { Duration::ZERO } else { range.wait },
        accepts_stale,
    }
}

fn choose_readers(context: &RouterContext, stream: &str) -> Vec<VmId> {
    let own = &context.settings;
    let eligible = context.tables.lock_membership().eligible_of(&own.data_centre_id);
    let mut relay = context.tables.lock_relay();
    relay.reader_choice.choose_readers(stream, &eligible, &own.vm_id, read_clock())
}

async fn read_from_vm(
    context: &RouterContext,
    vm_id: &str,
    request: RelayRequest,
) -> Result<RelayResponse, PeerError> {
    let timeout = request.wait + RELAY_GRACE;
    let peer_request = context.peers.request_with_timeout(&request, timeout)?;
    context.traffic.count(ControlKind::Relay, peer_request.get_ref().payload.len());
    let mut client = context.peers.fleet_client(vm_id)?;
    let response = tokio::time::timeout(timeout, client.relay(peer_request))
        .await
        .unwrap_or_else(|_| Err(tonic::Status::deadline_exceeded("relay")));
    if let Ok(envelope) = &response {
        context.traffic.count(ControlKind::Relay, envelope.get_ref().payload.len());
    }
    decode_response(vm_id, response)
}

fn store_page(
    context: &RouterContext,
    stream: &str,
    range: ReadRange,
    page: &RecordPage,
    reader_vm_id: Option<VmId>,
    received_at: Timestamp,
) {
    let mut relay = context.tables.lock_relay();
    relay.store(stream, range.from_offset, page, reader_vm_id, received_at);
    drop(relay);
    if !page.records.is_empty() {
        context.tables.relay_arrived.notify_waiters();
    }
}

fn to_record_page(
    records: Vec<RelayedRecord>,
    earliest_offset: LogOffset,
    end_offset: LogOffset,
) -> RecordPage {
    let records = records
        .into_iter()
        .map(|record| LogRecord { offset: record.offset, payload: record.payload })
        .collect();
    RecordPage { records, earliest_offset, end_offset }
}
