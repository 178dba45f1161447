//! The log streams that this VM relays, and the VMs that it reads them from.

use std::collections::BTreeMap;

use super::relay_messages::{RelayRequest, RelayResponse};
use super::relay_stream::{RelayStream, StreamView};
use sassafrashoist_core::ids::{LogOffset, Timestamp, VmId};
use sassafrashoist_core::membership::reader_choice::ReaderChoice;
use sassafrashoist_platform::wire::RecordPage;

/// The log streams that this VM relays, and the VMs that it reads them from.
#[derive(Debug, Default)]
pub struct RelayTable {
    streams: BTreeMap<String, RelayStream>,
    /// Chooses the VMs to read from, skipping those that recently could not relay records.
    pub reader_choice: ReaderChoice,
}

impl RelayTable {
    /// Buffers the records of a page that was read at `from_offset`.
    pub fn store(
        &mut self,
        stream: &str,
        from_offset: LogOffset,
        page: &RecordPage,
        reader_vm_id: Option<VmId>,
        contact_at: Timestamp,
    ) {
        let buffered = self.streams.entry(stream.to_owned()).or_default();
        buffered.store(from_offset, page, reader_vm_id, contact_at);
    }

    /// Responds to a request from another VM.
    pub fn respond(&self, request: &RelayRequest, now: Timestamp) -> RelayResponse {
        match self.streams.get(&request.stream) {
            Some(buffered) => buffered.respond(request, now),
            None => RelayResponse::Stale,
        }
    }

    /// Returns whether any page of a stream was stored.
    pub fn has_stream(&self, stream: &str) -> bool {
        self.streams.contains_key(stream)
    }

    /// Returns the state of every stream for state dumps.
    pub fn view(&self, now: Timestamp) -> BTreeMap<String, StreamView> {
        self.streams.iter().map(|(name, buffered)| (name.clone(), buffered.view(now))).collect()
    }
}
