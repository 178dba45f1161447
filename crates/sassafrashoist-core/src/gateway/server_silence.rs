//! How long a server has sent nothing although others did: the time after which it has failed.
//!
//! A pause of all servers, of the network or of this VM looks the same as the failure of one server
//! to a request that waits for it. Only the other servers of the pool tell them apart: while they are
//! silent too, the silence has a shared cause, and another server would not respond sooner. A pause of
//! all others therefore does not count, but only the first one: servers that go on again and again
//! have no cause in common with one that does not. Shorter gaps are those between the events of a slow
//! stream. There is a limit: several servers may fail at once while the rest are idle, and then only a
//! request that is sent to one of those finds out. Time during which this VM did not run counts as one
//! step at most.

use std::time::Duration;

use super::Uptime;

/// How long a server with requests in progress may send nothing before it counts as silent.
pub const SILENT_TIME: Duration = Duration::from_millis(300);
/// The most time that one check adds: more has passed only if this VM did not run.
const MAX_STEP: Duration = Duration::from_millis(200);

/// The longest time between two bytes of the other servers that is no pause of all of them.
const MAX_SPEECH_GAP: Duration = Duration::from_millis(800);

/// How long a request stays at a server that is silent like all others in use, if one is idle.
const SHARED_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// The servers of a pool that a request could use in place of its own, and what they sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherServers {
    /// When bytes of one of them arrived last.
    pub heard_at: Option<Uptime>,
    /// How many have sent something within [`SILENT_TIME`].
    pub speaking_count: usize,
    /// How many have requests in progress and are silent.
    pub silent_count: usize,
    /// Whether the request may be sent to one that is not silent.
    pub has_substitute: bool,
}

impl OtherServers {
    /// Returns whether the other servers with requests in progress are silent too.
    pub fn are_silent(&self) -> bool {
        self.speaking_count == 0 && self.silent_count > 0
    }
}

/// How long a server has sent nothing to any request although others did.
#[derive(Debug, Clone)]
pub struct ServerSilence {
    began_at: Uptime,
    checked_at: Uptime,
    total: Duration,
    /// The time up to the last byte of another server, or without any other in use.
    confirmed: Duration,
    /// The time since then. It does not count if the others turn out to have paused too.
    unconfirmed: Duration,
    /// When another server was heard last.
    others_heard_at: Option<Uptime>,
    /// Whether a pause of all others was left out.
    has_shared_pause: bool,
}

impl ServerSilence {
    /// Begins to measure the silence of a server.
    pub fn new(now: Uptime) -> Self {
        Self {
            began_at: now,
            checked_at: now,
            total: Duration::ZERO,
            confirmed: Duration::ZERO,
            unconfirmed: Duration::ZERO,
            others_heard_at: None,
            has_shared_pause: false,
        }
    }

    /// Adds the time since the last check. `active_at` is when the server last sent anything, or
    /// got its first request; `None` if it is no longer known.
    pub fn update(&mut self, active_at: Option<Uptime>, others: &OtherServers, now: Uptime) {
        if let Some(at) = active_at.filter(|at| *at > self.began_at) {
            *self = Self { others_heard_at: self.others_heard_at, ..Self::new(at) };
        }
        let step = now.saturating_sub(self.checked_at).min(MAX_STEP);
        self.checked_at = now;
        self.total += step;
        let heard_before = self.others_heard_at;
        self.others_heard_at = heard_before.max(others.heard_at);
        let is_in_use = others.speaking_count > 0 || others.silent_count > 0;
        match others.heard_at.filter(|at| *at > heard_before.unwrap_or(self.began_at)) {
            Some(heard_at) => {
                let gap = heard_at.saturating_sub(heard_before.unwrap_or(self.began_at));
                let unconfirmed = std::mem::take(&mut self.unconfirmed);
                if gap <= MAX_SPEECH_GAP || self.has_shared_pause {
                    self.confirmed += unconfirmed;
                } else {
                    self.has_shared_pause = true;
                }
                self.confirmed += step;
            }
            None if is_in_use => self.unconfirmed += step,
            None => self.confirmed += std::mem::take(&mut self.unconfirmed) + step,
        }
    }

    /// Returns how long the server has been silent although others were not.
    pub fn while_others_spoke(&self) -> Duration {
        self.confirmed + self.unconfirmed
    }

    /// Returns how long the server has been silent while this VM ran, whatever the others did.
    pub fn total(&self) -> Duration {
        self.total
    }

    /// Returns whether a request that waits for the server should be sent to another one.
    pub fn is_failure(&self, timeout: Duration, others: &OtherServers) -> bool {
        let is_over = if others.are_silent() {
            self.total >= timeout.max(SHARED_SILENCE_TIMEOUT)
        } else {
            self.while_others_spoke() >= timeout
        };
        is_over && others.has_substitute
    }
}
