//! The permits that this VM issues, and the issuers that do not respond to it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::permit_bucket::{PermitBucket, PermitTicket};
use sassafrashoist_core::ids::{BackendServerId, VmId};

/// How long a VM that did not respond is not asked again.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);

/// The permits that this VM issues, and the issuers that do not respond to it.
#[derive(Debug, Default)]
pub struct PermitBook {
    /// The servers whose limit is being sent to the other VMs.
    pub sharing: HashSet<BackendServerId>,
    buckets: HashMap<BackendServerId, PermitBucket>,
    unreachable_until: HashMap<VmId, Uptime>,
}

impl PermitBook {
    /// Returns whether a VM did not respond recently.
    pub fn is_unreachable(&self, vm_id: &str, now: Uptime) -> bool {
        self.unreachable_until.get(vm_id).is_some_and(|until| now < *until)
    }

    /// Records that a VM did not respond.
    pub fn record_unreachable(&mut self, vm_id: &str, now: Uptime) {
        self.unreachable_until.insert(vm_id.to_owned(), now + UNREACHABLE_TIME);
    }

    /// Returns the bucket of the permits that this VM issues for a server.
    pub fn bucket(&mut self, server_id: &str, now: Uptime) -> &mut PermitBucket {
        self.buckets.entry(server_id.to_owned()).or_insert_with(|| PermitBucket::new(now))
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, server_id: &str, ticket: PermitTicket) {
        if let Some(bucket) = self.buckets.get_mut(server_id) {
            bucket.leave(ticket);
        }
    }

    /// Removes the permits of a server that names no limit any more.
    pub fn forget(&mut self, server_id: &str) {
        self.buckets.remove(server_id);
    }
}
