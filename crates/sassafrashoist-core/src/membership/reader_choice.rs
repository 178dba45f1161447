//! Chooses which VM of a data centre reads a log stream from the platform.
//!
//! Every VM ranks the eligible VMs of its data centre by the same rendezvous hash. The first reads
//! from the platform; the others read from the first. A VM that finds another unavailable skips it
//! for a while and tries the next in rank. A VM reads from the platform itself when it skips every
//! VM ranked before it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Timestamp, VmId};
use crate::rendezvous::rank_owners;

/// How long a VM that was found unavailable is skipped.
const SKIP_TIME: Duration = Duration::from_secs(3);
/// The maximum number of VMs that are tried before the platform.
const MAX_READERS: usize = 2;

/// Chooses the readers of log streams, and skips VMs that were found unavailable.
#[derive(Debug, Default)]
pub struct ReaderChoice {
    skipped_until: BTreeMap<VmId, Timestamp>,
}

impl ReaderChoice {
    /// Records that a VM did not respond, or is itself behind.
    pub fn record_unavailable(&mut self, vm_id: &str, now: Timestamp) {
        self.skipped_until.insert(vm_id.to_owned(), now + SKIP_TIME);
    }

    /// Returns the VMs to read a stream from, in the order to try them; none when this VM must read
    /// from the platform.
    pub fn choose_readers(
        &mut self,
        stream: &str,
        eligible: &[VmId],
        own_vm_id: &str,
        now: Timestamp,
    ) -> Vec<VmId> {
        self.skipped_until.retain(|_, until| *until > now);
        rank_owners(stream, eligible.iter().map(String::as_str))
            .into_iter()
            .take_while(|vm_id| *vm_id != own_vm_id)
            .filter(|vm_id| !self.skipped_until.contains_key(*vm_id))
            .take(MAX_READERS)
            .map(str::to_owned)
            .collect()
    }
}
