//! What this VM relays of log streams, and whom it reads them from.

use std::collections::BTreeMap;

use super::relay_messages::{RelayAnswer, RelayCall};
use super::relay_stream::{RelayStream, StreamView};
use sassafrashoist_core::ids::{LogOffset, Timestamp, VmId};
use sassafrashoist_core::membership::reader_choice::ReaderChoice;
use sassafrashoist_platform::wire::RecordPage;

/// What this VM relays of log streams, and whom it reads them from.
#[derive(Debug, Default)]
pub struct RelayTable {
    streams: BTreeMap<String, RelayStream>,
    /// The VMs that were found quiet.
    pub choice: ReaderChoice,
}

impl RelayTable {
    /// Keeps the records of a page that was read at `from_offset`.
    pub fn store(
        &mut self,
        stream: &str,
        from_offset: LogOffset,
        page: &RecordPage,
        reader_vm_id: Option<VmId>,
        heard_at: Timestamp,
    ) {
        let kept = self.streams.entry(stream.to_owned()).or_default();
        kept.store(from_offset, page, reader_vm_id, heard_at);
    }

    /// Answers another VM.
    pub fn answer(&self, call: &RelayCall, now: Timestamp) -> RelayAnswer {
        match self.streams.get(&call.stream) {
            Some(kept) => kept.answer(call, now),
            None => RelayAnswer::Quiet,
        }
    }

    /// Describes every stream for state dumps.
    pub fn view(&self, now: Timestamp) -> BTreeMap<String, StreamView> {
        self.streams.iter().map(|(name, kept)| (name.clone(), kept.view(now))).collect()
    }
}
