//! How old the active configuration of a VM may be.
//!
//! A VM that reads the configuration to the end of its topic knows that no newer version existed at
//! that time. It no longer knows that when its reads fail or take long, or when another VM has a
//! newer version. What the active configuration lacks may exist in a newer one then. What it allows is
//! served until the time is over in which a newer version has to be in force.

use std::time::Duration;

use super::{ConfigVersion, Uptime};

/// The time since the last confirmation after which a newer version must be suspected: a read that
/// finds nothing new waits 1 s, and its response may be late.
const MAX_UNCONFIRMED_TIME: Duration = Duration::from_millis(1_500);

/// A version that another VM has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeardVersion {
    version: ConfigVersion,
    at: Uptime,
}

/// How old the active configuration of a VM may be.
#[derive(Debug, Default)]
pub struct ConfigAge {
    active: Option<ConfigVersion>,
    confirmed_at: Option<Uptime>,
    /// The latest time at which the active version is certain to have been the newest that can be
    /// applied.
    newest_at: Option<Uptime>,
    heard: Option<HeardVersion>,
}

impl ConfigAge {
    /// Records that the end of the topic was read at this time. Its newest record may be one that
    /// cannot be decoded; then no VM can do better than to serve by the active version.
    pub fn record_checked(&mut self, at: Uptime) {
        self.newest_at = self.newest_at.max(Some(at));
    }

    /// Records that no version newer than the active one existed at this time.
    ///
    /// A version that was heard of earlier and is still not active was never in the topic, or
    /// cannot be decoded; it no longer counts.
    pub fn record_confirmed(&mut self, at: Uptime) {
        self.record_checked(at);
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.heard = self.heard.filter(|heard| heard.at > at);
    }

    /// Records that another VM has a version.
    pub fn record_heard(&mut self, version: ConfigVersion, now: Uptime) {
        if self.heard.is_none_or(|heard| heard.version < version) {
            self.heard = Some(HeardVersion { version, at: now });
        }
    }

    /// Records the version that this VM uses from now on.
    pub fn record_active(&mut self, version: ConfigVersion) {
        self.active = Some(version);
    }

    /// Returns whether the active configuration may be old: a newer version is known to exist, or
    /// its absence was not confirmed recently.
    pub fn is_doubtful(&self, now: Uptime) -> bool {
        self.newer_version().is_some()
            || self.unconfirmed_time(now).is_none_or(|time| time > MAX_UNCONFIRMED_TIME)
    }

    /// Returns whether a version may be in force at other VMs that has to be in force here too, as the
    /// active one is not known to have been the newest within `apply_time`.
    pub fn is_too_old(&self, apply_time: Duration, now: Uptime) -> bool {
        self.newest_at.is_some_and(|at| now > at + apply_time)
    }

    /// Returns for how long this VM has known of a version that is newer than the active one.
    pub fn heard_time(&self, now: Uptime) -> Option<Duration> {
        self.newer_version()?;
        self.heard.map(|heard| now.saturating_sub(heard.at))
    }

    /// Returns whether the active configuration is known to have been the newest one at a time.
    pub fn was_newest_at(&self, at: Uptime) -> bool {
        self.newer_version().is_none() && self.confirmed_at.is_some_and(|known| known >= at)
    }

    /// Returns the newest version that other VMs have, if it is newer than the active one.
    pub fn newer_version(&self) -> Option<ConfigVersion> {
        let version = self.heard?.version;
        self.active.is_none_or(|active| active < version).then_some(version)
    }

    /// Returns how long ago no newer version existed; `None` if that was never known.
    pub fn unconfirmed_time(&self, now: Uptime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}
