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

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::Uptime;
use super::holder_record::HolderRecord;
use super::token_ledger::TokenLedger;
use crate::ids::{BackendServerId, DataCentreId, VmId};
use crate::rendezvous::rank_owners;

/// The part of a limit that a backup, or an issuer without a lease, uses.
pub const REDUCED_SHARE: f64 = 0.4;
/// How long a record of this VM in the ledger makes it an issuer of whole limits.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// The time without a new record, while the ledger can be read, after which a VM counts as lost;
/// longer than [`LEASE_TIME`] by more than the time between two reads.
const LOST_AFTER: Duration = Duration::from_secs(12);
/// The time without a read of the ledger that does not count towards [`LOST_AFTER`].
const MAX_READ_GAP: Duration = Duration::from_secs(2);
/// The time for which a VM must be the first choice and hold a lease before it issues the whole
/// limit: within that time, the previous issuer reads the ledger.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// A VM that issues permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitIssuer {
    /// The VM.
    pub vm_id: VmId,
    /// The address to which other VMs send messages.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
}

/// A VM with a record in the ledger.
#[derive(Debug)]
struct Member {
    issuer: PermitIssuer,
    sequence: u64,
    written_at: Uptime,
    read_at: Uptime,
}

impl Member {
    fn new(record: &HolderRecord, now: Uptime) -> Self {
        let issuer = PermitIssuer {
            vm_id: record.vm_id.clone(),
            peer_address: record.peer_address,
            data_centre_id: record.data_centre_id.clone(),
        };
        Self { issuer, sequence: record.sequence, written_at: now, read_at: now }
    }

    fn record_read(&mut self, record: &HolderRecord, unread_time: Duration, now: Uptime) {
        self.written_at =
            if self.sequence == record.sequence { self.written_at + unread_time } else { now };
        self.sequence = record.sequence;
        self.issuer.peer_address = record.peer_address;
        self.read_at = now;
    }
}

/// The VMs that issue permits, as seen by one VM.
#[derive(Debug)]
pub struct PermitIssuers {
    own: PermitIssuer,
    members: BTreeMap<VmId, Member>,
    read_at: Option<Uptime>,
    record_sent_at: Option<Uptime>,
    leased_since: Uptime,
    first_since: HashMap<BackendServerId, Uptime>,
}

impl PermitIssuers {
    /// Creates the view of a VM that has not read the ledger yet.
    pub fn new(own: PermitIssuer) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            read_at: None,
            record_sent_at: None,
            leased_since: Uptime::ZERO,
            first_since: HashMap::new(),
        }
    }

    /// Updates the view after the ledger was read to its end.
    pub fn record_read(&mut self, ledger: &TokenLedger, now: Uptime) {
        let gap = self.read_at.map_or(Duration::ZERO, |read_at| now.saturating_sub(read_at));
        let unread_time = if gap > MAX_READ_GAP { gap } else { Duration::ZERO };
        self.read_at = Some(now);
        for (_, record) in ledger.live_holders() {
            match self.members.get_mut(&record.vm_id) {
                Some(member) => member.record_read(record, unread_time, now),
                None => {
                    self.members.insert(record.vm_id.clone(), Member::new(record, now));
                }
            }
        }
        self.members.retain(|_, member| member.read_at == now);
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
    pub fn issuers(&self, server_id: &str, now: Uptime) -> Vec<PermitIssuer> {
        let is_lost = |member: &Member| now >= member.written_at + LOST_AFTER;
        let has_current_view = self.read_at.is_some_and(|at| now < at + MAX_READ_GAP);
        let others = self.members.values().filter(|member| {
            member.issuer.vm_id != self.own.vm_id && !(has_current_view && is_lost(member))
        });
        let vm_ids = others.map(|member| member.issuer.vm_id.as_str());
        let ranked = rank_owners(server_id, vm_ids.chain([self.own.vm_id.as_str()]));
        let mut ranked = ranked.into_iter().map(|vm_id| self.issuer(vm_id));
        let Some(first) = ranked.next() else {
            return Vec::new();
        };
        let others: Vec<&PermitIssuer> = ranked.collect();
        let elsewhere = others.iter().find(|other| other.data_centre_id != first.data_centre_id);
        let backup = elsewhere.or_else(|| others.first()).copied();
        std::iter::once(first).chain(backup).cloned().collect()
    }

    /// Returns the part of a server's limit that this VM may issue permits for; `None` if it is
    /// neither the issuer nor the backup.
    pub fn own_share(&mut self, server_id: &str, now: Uptime) -> Option<f64> {
        let issuers = self.issuers(server_id, now);
        if !issuers.iter().any(|issuer| issuer.vm_id == self.own.vm_id) {
            return None;
        }
        if issuers[0].vm_id != self.own.vm_id {
            self.first_since.remove(server_id);
            return Some(REDUCED_SHARE);
        }
        let first_since = *self.first_since.entry(server_id.to_owned()).or_insert(now);
        let is_settled = now >= first_since.max(self.leased_since) + SETTLING_TIME;
        Some(if self.is_leased(now) && is_settled { 1.0 } else { REDUCED_SHARE })
    }

    fn issuer(&self, vm_id: &str) -> &PermitIssuer {
        self.members.get(vm_id).map_or(&self.own, |member| &member.issuer)
    }

    fn is_first(&self, server_id: &str, now: Uptime) -> bool {
        self.issuers(server_id, now).first().is_some_and(|first| first.vm_id == self.own.vm_id)
    }

    fn is_leased(&self, now: Uptime) -> bool {
        self.record_sent_at.is_some_and(|sent_at| now < sent_at + LEASE_TIME)
    }
}
