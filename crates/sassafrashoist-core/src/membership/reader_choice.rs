//! Which VM of a data centre reads a log stream from the platform.
//!
//! Every VM ranks the eligible VMs of its data centre by the same hash. The first reads the
//! platform; the others read from it. Who finds a VM quiet holds it back for a while and asks the
//! next in rank; who has asked everyone before itself reads the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Timestamp, VmId};
use crate::rendezvous::rank_owners;

/// How long a VM that was found quiet is not asked again.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// The most VMs that are asked before the platform is.
const MAX_ASKED: usize = 2;

/// The VMs that one VM found quiet.
#[derive(Debug, Default)]
pub struct ReaderChoice {
    held_until: BTreeMap<VmId, Timestamp>,
}

impl ReaderChoice {
    /// Records that a VM did not answer, or is itself behind.
    pub fn record_quiet(&mut self, vm_id: &str, now: Timestamp) {
        self.held_until.insert(vm_id.to_owned(), now + HOLD_TIME);
    }

    /// Returns the VMs to ask for a stream, in order; none when this VM is to read the platform.
    pub fn choose_readers(
        &mut self,
        stream: &str,
        eligible: &[VmId],
        own_vm_id: &str,
        now: Timestamp,
    ) -> Vec<VmId> {
        self.held_until.retain(|_, until| *until > now);
        rank_owners(stream, eligible.iter().map(String::as_str))
            .into_iter()
            .take_while(|vm_id| *vm_id != own_vm_id)
            .filter(|vm_id| !self.held_until.contains_key(*vm_id))
            .take(MAX_ASKED)
            .map(str::to_owned)
            .collect()
    }
}
