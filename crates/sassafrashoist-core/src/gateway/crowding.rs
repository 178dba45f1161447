//! Whether a VM has turned callers away because it has no room for their connections.
//!
//! The load balancer selects the VM of a connection by a hash of the caller, so that the callers of one
//! account may fill one VM while its neighbours are idle. Until such a VM says that it is not ready, all
//! their new connections come to it.

use std::time::Duration;

use super::Uptime;

/// How long a VM is not ready after it turned a caller away. The load balancer asks once a second, and
/// twice before it selects other VMs.
const UNREADY_TIME: Duration = Duration::from_secs(3);

/// Whether a VM has turned callers away.
#[derive(Debug, Default)]
pub struct Crowding {
    turned_away_at: Option<Uptime>,
}

impl Crowding {
    /// Records that a caller was turned away; returns whether it was the first one for some time.
    pub fn record_turned_away(&mut self, now: Uptime) -> bool {
        let is_first = !self.is_crowded(now);
        self.turned_away_at = Some(now);
        is_first
    }

    /// Returns whether callers should rather connect to other VMs.
    pub fn is_crowded(&self, now: Uptime) -> bool {
        self.turned_away_at.is_some_and(|at| now < at + UNREADY_TIME)
    }
}
