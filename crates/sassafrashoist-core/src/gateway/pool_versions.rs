//! The software versions that the servers of each pool have had.
//!
//! A stream whose origin is not known can go on only if every server that may have begun it has the
//! same version. That is known if the server list was read without a gap for longer than a stream
//! lasts, and no other version was in it.
//!
//! The response to a read may arrive long after it was sent, at a VM that stood still in between. The
//! age of the list therefore counts from the call.

use std::collections::HashMap;
use std::time::Duration;

use super::server_listing::ServerListing;
use super::{SoftwareVersion, Uptime};
use crate::ids::{LogOffset, PoolId};

/// The longest time between two reads of the server list that counts as no gap.
const MAX_READ_GAP: Duration = Duration::from_secs(3);

/// The software versions that the servers of each pool have had.
#[derive(Debug, Default)]
pub struct PoolVersions {
    last_seen: HashMap<(PoolId, SoftwareVersion), Uptime>,
    /// The time of which the last read shows the list.
    read_at: Option<Uptime>,
    read_since: Uptime,
    position: Option<LogOffset>,
}

impl PoolVersions {
    /// Records that the server list was read to its end, as it was at `known_at` or later.
    pub fn record_read(&mut self, known_at: Uptime) {
        if !self.is_current(known_at) {
            self.read_since = known_at;
        }
        self.read_at = Some(known_at);
    }

    /// Records that only the newest entry of each server was read. Servers that joined and left
    /// since the read before are not known.
    pub fn record_newest_read(&mut self, known_at: Uptime) {
        self.read_since = known_at;
        self.read_at = Some(known_at);
    }

    /// Records that all entries before `position` were applied; `None` if some were left out.
    pub fn record_position(&mut self, position: Option<LogOffset>) {
        self.position = position;
    }

    /// Returns the offset of the first entry that was not applied; `None` if that is not known.
    pub fn position(&self) -> Option<LogOffset> {
        self.position
    }

    /// Returns how old the list is; `None` if it was never read.
    pub fn list_age(&self, now: Uptime) -> Option<Duration> {
        self.read_at.map(|read_at| now.saturating_sub(read_at))
    }

    /// Records that a server is in the directory, or was until now.
    pub fn record_seen(&mut self, listing: &ServerListing, now: Uptime) {
        let key = (listing.pool_id.clone(), listing.software_version.clone());
        self.last_seen.insert(key, now);
    }

    /// Returns whether the server list was read recently.
    pub fn is_current(&self, now: Uptime) -> bool {
        self.read_at.is_some_and(|read_at| now <= read_at + MAX_READ_GAP)
    }

    /// Returns for how long the server list has been read without a gap; `None` if it is not read.
    pub fn read_without_gap_for(&self, now: Uptime) -> Option<Duration> {
        self.is_current(now).then(|| now.saturating_sub(self.read_since))
    }

    /// Returns the version of all servers that a pool has had in the last `duration`, with those that
    /// are in the directory now; `None` if there were several, or if that is not known.
    pub fn sole_version<'a>(
        &'a self,
        pool_id: &str,
        duration: Duration,
        listed: impl Iterator<Item = &'a ServerListing>,
        now: Uptime,
    ) -> Option<&'a SoftwareVersion> {
        if !self.is_current(now) || now < self.read_since + duration {
            return None;
        }
        // A server whose entry does not change stays in the list without being seen again.
        let listed = listed
            .filter(|listing| listing.pool_id == pool_id)
            .map(|listing| &listing.software_version);
        let recent = self
            .last_seen
            .iter()
            .filter(|((pool, _), last_seen)| pool == pool_id && now < **last_seen + duration)
            .map(|((_, version), _)| version);
        let mut versions = listed.chain(recent);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }
}
