//! The VMs that use a server while it is brittle.
//!
//! A brittle server fails after a few rejections a second, from all VMs together. A VM that sends it
//! a request now and then cannot know whether it has room. So only a few VMs use each such server:
//! their own requests are a large part of its load, and the rest of it they learn from its responses.
//! All VMs select them by rendezvous hashing, without messages. Each VM has one server at least.

use crate::ids::{BackendServerId, VmId};
use crate::rendezvous::{choose_owner, rank_owners};

/// The number of VMs that are selected for each brittle server.
const USERS_PER_SERVER: usize = 7;

/// The VMs that use a server while it is brittle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrittleUsers {
    /// The VMs that are selected for the server.
    pub selected: Vec<VmId>,
    /// Whether this VM uses the server.
    pub includes_own: bool,
    /// About how many VMs use the server.
    pub count: usize,
}

impl BrittleUsers {
    /// Finds the VMs that use a server of a pool, among all VMs of the fleet.
    pub fn find(
        server_id: &str,
        pool: &[BackendServerId],
        own_vm_id: &str,
        vm_ids: &[&str],
    ) -> Self {
        let ranked = rank_owners(server_id, vm_ids.iter().copied());
        let selected: Vec<VmId> =
            ranked.into_iter().take(USERS_PER_SERVER).map(str::to_owned).collect();
        let preferred = choose_owner(own_vm_id, pool.iter().map(String::as_str));
        let includes_own =
            preferred == Some(server_id) || selected.iter().any(|vm_id| vm_id == own_vm_id);
        let preferring_count = vm_ids.len() / pool.len().max(1);
        let count = (selected.len() + preferring_count).min(vm_ids.len()).max(1);
        Self { selected, includes_own, count }
    }
}
