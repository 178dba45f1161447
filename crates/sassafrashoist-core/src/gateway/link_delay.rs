//! How long packets wait at the link of a VM, by the time that connections take to open.
//!
//! Load answered: requests, responses and other traffic move more bytes than the link carries, whatever
//! was expected of them. The first packet of a connection waits behind all others in one direction and its
//! answer in the other, so that the time to open one shows both queues. A single server may be slow to
//! accept, but not all of them at once: the shortest time of several connections counts.

use std::collections::VecDeque;
use std::time::Duration;

use super::Uptime;

/// How long a connection counts. A new one is opened for each request, so that many fall into this time on
/// a VM that is short of bandwidth.
const SAMPLE_TIME: Duration = Duration::from_millis(150);
/// The number of connections that show a queue at the link; with fewer, nothing is concluded.
const MIN_SAMPLES: usize = 4;
/// The most connections that are kept.
const MAX_SAMPLES: usize = 64;

/// How long packets wait at the link of a VM.
#[derive(Debug, Default)]
pub struct LinkDelay {
    samples: VecDeque<(Uptime, Duration)>,
}

impl LinkDelay {
    /// Records how long a connection took to open, or after which time it was given up.
    pub fn record(&mut self, took: Duration, now: Uptime) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, took));
    }

    /// Returns how long each of the recent connections took at least; zero if they were too few.
    pub fn current(&mut self, now: Uptime) -> Duration {
        while self.samples.front().is_some_and(|(at, _)| *at + SAMPLE_TIME < now) {
            self.samples.pop_front();
        }
        if self.samples.len() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        self.samples.iter().map(|(_, took)| *took).min().unwrap_or_default()
    }
}
