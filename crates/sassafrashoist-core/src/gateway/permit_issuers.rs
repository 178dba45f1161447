//! The VMs that issue the permits of backend servers that name a limit.
//!
//! All permits of a server come from one VM, so that the limit holds for the sum over all VMs,
//! however small it is and however unevenly the VMs use it. All VMs select the issuer, and a backup
//! for when they cannot reach it, by rendezvous hashing among the VMs that write to the ledger.
//!
//! Views of the ledger differ for a time when VMs start, stop or are disconnected. An issuer
//! therefore uses the whole limit only while it holds a lease: it is the first choice in its own
//! view, and has written to the ledger recently enough that no VM that reads the ledger counts it
//! as lost. The backup, and an issuer without a lease, use [`REDUCED_SHARE`]. The two shares
//! together stay within one and a half times the limit.

use std::collections::HashMap;
use std::time::Duration;

use super::Uptime;
use super::live_vms::{FleetVm, LiveVms};
use super::token_ledger::TokenLedger;
use crate::ids::BackendServerId;

/// The part of a limit that a backup, or an issuer without a lease, uses.
pub const REDUCED_SHARE: f64 = 0.4;
/// How long a record of this VM in the ledger makes it an issuer of whole limits; shorter than
/// [`LOST_AFTER`](super::live_vms::LOST_AFTER) by more than the time between two reads.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// The time for which a VM must be the first choice and hold a lease before it issues the whole
/// limit: within that time, the previous issuer reads the ledger.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// The number of VMs that issue permits of a server: the issuer and its backup.
const ISSUER_COUNT: usize = 2;

/// The VMs that issue permits, as seen by one VM.
#[derive(Debug)]
pub struct PermitIssuers {
    /// The VMs of the fleet.
    pub live_vms: LiveVms,
    record_sent_at: Option<Uptime>,
    leased_since: Uptime,
    first_since: HashMap<BackendServerId, Uptime>,
}

impl PermitIssuers {
    /// Creates the view of a VM that has not read the ledger yet.
    pub fn new(own: FleetVm) -> Self {
        Self {
            live_vms: LiveVms::new(own),
            record_sent_at: None,
            leased_since: Uptime::ZERO,
            first_since: HashMap::new(),
        }
    }

    /// Updates the view after the ledger was read to its end.
    pub fn record_read(&mut self, ledger: &TokenLedger, now: Uptime) {
        self.live_vms.record_read(ledger, now);
        let mut first_since = std::mem::take(&mut self.first_since);
        first_since.retain(|server_id, _| self.is_first(server_id, now));
        self.first_since = first_since;
    }

    /// Records that a record of this VM, sent at `sent_at`, is in the ledger.
    pub fn record_write(&mut self, sent_at: Uptime) {
        if !self.is_leased(sent_at) {
            self.leased_since = sent_at;
        }
        self.record_sent_at = Some(sent_at);
    }

    /// Returns the issuer of a server's permits, and the backup if there is another VM; the backup
    /// is in another data centre if there is one.
    pub fn issuers(&self, server_id: &str, now: Uptime) -> Vec<FleetVm> {
        self.live_vms.spread(server_id, ISSUER_COUNT, now)
    }

    /// Returns the part of a server's limit that this VM may issue permits for; `None` if it is
    /// neither the issuer nor the backup.
    pub fn own_share(&mut self, server_id: &str, now: Uptime) -> Option<f64> {
        let issuers = self.issuers(server_id, now);
        let own_id = &self.live_vms.own().vm_id;
        if !issuers.iter().any(|issuer| issuer.vm_id == *own_id) {
            return None;
        }
        if issuers[0].vm_id != *own_id {
            self.first_since.remove(server_id);
            return Some(REDUCED_SHARE);
        }
        let first_since = *self.first_since.entry(server_id.to_owned()).or_insert(now);
        let is_settled = now >= first_since.max(self.leased_since) + SETTLING_TIME;
        Some(if self.is_leased(now) && is_settled { 1.0 } else { REDUCED_SHARE })
    }

    fn is_first(&self, server_id: &str, now: Uptime) -> bool {
        let first = self.live_vms.ranked(server_id, now).into_iter().next();
        first.is_some_and(|first| first.vm_id == self.live_vms.own().vm_id)
    }

    fn is_leased(&self, now: Uptime) -> bool {
        self.record_sent_at.is_some_and(|sent_at| now < sent_at + LEASE_TIME)
    }
}
