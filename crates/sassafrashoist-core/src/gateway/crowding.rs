//! Whether a VM has more callers than it can serve.
//!
//! The load balancer selects the VM of a connection by a hash of the caller, so that the callers of one
//! account may fill one VM while its neighbours are idle. Until such a VM says that it is not ready, all
//! their new connections come to it. It notices by callers that it turns away, because it has no room for
//! their connections or requests, and by its timers: on a VM that is short of processor time everything
//! waits, also the end of a caller's stream.

use std::time::Duration;

use super::Uptime;

/// How long a VM is not ready after it was crowded. The load balancer asks once a second, and twice
/// before it selects other VMs.
const UNREADY_TIME: Duration = Duration::from_secs(3);
/// How long a VM is not ready after its link had no room, the first time.
const OVERLOAD_TIME: Duration = Duration::from_secs(30);
/// The most doublings of that time.
const MAX_OVERLOAD_DOUBLINGS: u32 = 2;
/// The other VMs of a data centre among which the callers of a crowded one are spread. Fewer would soon be
/// crowded in its place.
const MIN_NEIGHBOUR_COUNT: usize = 3;
/// A timer that fires later than this has waited for processor time.
const LATE_TIMER: Duration = Duration::from_millis(50);
/// The number of late timers in a row that show a lack of processor time; one that stood still has a
/// single one.
const LATE_TIMER_COUNT: u32 = 5;

/// Whether a VM has more callers than it can serve.
#[derive(Debug, Default)]
pub struct Crowding {
    crowded_at: Option<Uptime>,
    late_timer_count: u32,
    overloaded_until: Uptime,
    overload_count: u32,
}

impl Crowding {
    /// Records that a caller was turned away; returns whether the VM was not crowded before.
    pub fn record_turned_away(&mut self, now: Uptime) -> bool {
        let is_first = !self.is_crowded(now);
        self.crowded_at = Some(now);
        is_first
    }

    /// Records that the link of the VM has been without room for much of the last seconds; returns whether
    /// the VM was ready before.
    ///
    /// The callers of one account move together to another VM, and back as soon as this VM is ready again.
    /// Each time it is not ready for longer, so that they reach a VM that can carry them.
    pub fn record_overload(&mut self, now: Uptime) -> bool {
        if now < self.overloaded_until {
            return false;
        }
        let time = OVERLOAD_TIME * 2_u32.pow(self.overload_count.min(MAX_OVERLOAD_DOUBLINGS));
        self.overload_count += 1;
        self.overloaded_until = now + time;
        true
    }

    /// Records how late a timer fired; returns whether that shows that the VM is crowded and was not
    /// before.
    pub fn record_timer(&mut self, lateness: Duration, now: Uptime) -> bool {
        if lateness < LATE_TIMER {
            self.late_timer_count = 0;
            return false;
        }
        self.late_timer_count = self.late_timer_count.saturating_add(1);
        self.late_timer_count >= LATE_TIMER_COUNT && self.record_turned_away(now)
    }

    /// Returns whether the link of the VM had no room lately, so that the VM is not ready.
    pub fn is_overloaded(&self, now: Uptime) -> bool {
        now < self.overloaded_until
    }

    /// Returns whether callers should rather connect to the other VMs of the data centre, of which there
    /// are `neighbour_count`.
    pub fn sends_callers_away(&self, neighbour_count: usize, now: Uptime) -> bool {
        neighbour_count >= MIN_NEIGHBOUR_COUNT && (self.is_crowded(now) || self.is_overloaded(now))
    }

    /// Returns whether the VM has been crowded lately.
    pub fn is_crowded(&self, now: Uptime) -> bool {
        self.crowded_at.is_some_and(|at| now < at + UNREADY_TIME)
    }
}
