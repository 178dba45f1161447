//! The times of a graceful shutdown: until when a VM accepts connections, which requests it still
//! takes, and when it exits.

use std::time::Duration;

use super::Uptime;

/// How long a VM still accepts connections after the signal to stop: the load balancer stops
/// sending after two failed readiness checks, one second apart.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// The longest reserve at the end of the grace period.
const MAX_RESERVE: Duration = Duration::from_millis(1_300);
/// The part of the grace period that the reserve has at most, as a divisor.
const RESERVE_DIVISOR: u32 = 6;
/// How long the first request on a connection may take to arrive after the listener was closed.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(250);

/// The part of the time left in which requests that are cut off are answered.
const ANSWER_FRACTION: f64 = 0.3;
/// The longest time in which the process exits once all else is done, and the part of the reserve that
/// it has at most, as a divisor.
const MAX_EXIT_TIME: Duration = Duration::from_millis(100);
const EXIT_DIVISOR: u32 = 2;
/// The longest that transferring tokens to other VMs may take.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(500);
/// The part of the time left that transferring tokens may take.
const TRANSFER_FRACTION: f64 = 0.45;
/// The longest that returning tokens to the ledger may take.
const MAX_RETURN_TIME: Duration = Duration::from_millis(1_500);

/// The times of the graceful shutdown of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    /// When the listener is closed.
    pub closes_at: Uptime,
    /// When connections that have not sent a byte are closed.
    pub opened_end_at: Uptime,
    /// When requests that are still in progress are cut off.
    pub serves_until: Uptime,
    /// When the process exits at the latest.
    pub exits_at: Uptime,
}

impl DrainPlan {
    /// Plans the shutdown of a VM that got the signal to stop at a time, and is killed a grace
    /// period later.
    pub fn new(signalled_at: Uptime, grace: Duration) -> Self {
        let reserve = MAX_RESERVE.min(grace / RESERVE_DIVISOR);
        let exit_time = MAX_EXIT_TIME.min(reserve / EXIT_DIVISOR);
        let closes_at = signalled_at + BALANCER_NOTICE_TIME.min(grace / 2);
        let serves_until = signalled_at + grace.saturating_sub(reserve);
        Self {
            closes_at,
            opened_end_at: serves_until.min(closes_at + FIRST_REQUEST_TIME),
            serves_until,
            exits_at: signalled_at + grace.saturating_sub(exit_time),
        }
    }

    /// Returns how long requests that are cut off may take to be answered.
    pub fn answer_time(&self, now: Uptime) -> Duration {
        self.exits_at.saturating_sub(now).mul_f64(ANSWER_FRACTION)
    }

    /// Returns how long transferring tokens to other VMs may take, once nothing is served any more.
    pub fn transfer_time(&self, now: Uptime) -> Duration {
        MAX_TRANSFER_TIME.min(self.exits_at.saturating_sub(now).mul_f64(TRANSFER_FRACTION))
    }

    /// Returns how long returning tokens to the ledger may take, as the last step.
    pub fn return_time(&self, now: Uptime) -> Duration {
        MAX_RETURN_TIME.min(self.exits_at.saturating_sub(now))
    }

    /// Returns whether a request with a deadline may be passed on to a server. While the load
    /// balancer still sends requests, all are; after that, only those that end in time even if they
    /// take as long as they may. The others can still run on other VMs.
    pub fn covers(&self, now: Uptime, deadline: Uptime) -> bool {
        now < self.closes_at || deadline <= self.serves_until
    }
}
