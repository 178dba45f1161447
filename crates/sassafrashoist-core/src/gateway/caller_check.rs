//! Whether a caller whose stream has ended still waits for its response.
//!
//! A caller that closes its connection and one that closes only its writing side look alike: both end
//! their stream. They differ in what their kernels do with bytes that arrive later: the connection of a
//! caller that left is reset, one that still reads accepts them. An interim response, which HTTP allows
//! before each response, is therefore sent to such a caller from time to time.

use std::time::Duration;

/// The time between two looks at the connection.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What is known of the response when a caller is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseProgress {
    /// Nothing of the response has been written, and the caller knows interim responses.
    NotStarted,
    /// The response is being written, the caller knows no interim responses, or bytes are left in a
    /// buffer. What is written next shows whether the caller is there.
    NoInterimAllowed,
}

/// What to do at a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckStep {
    /// Sends an interim response, whose fate the next checks show.
    SendInterim,
    /// Only looks whether the connection has failed.
    Look,
}

/// The checks of a caller whose stream has ended within a request.
///
/// The time between two interim responses doubles, so that few are sent in a request of any length.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CallerCheck {
    check_count: u32,
    next_interim_at: u32,
}

impl CallerCheck {
    /// Returns the step of the next check. The first is due at once, the others [`CHECK_INTERVAL`] after
    /// the one before.
    pub fn next_step(&mut self, progress: ResponseProgress) -> CheckStep {
        let check = self.check_count;
        self.check_count = self.check_count.saturating_add(1);
        if progress == ResponseProgress::NoInterimAllowed || check < self.next_interim_at {
            return CheckStep::Look;
        }
        self.next_interim_at = check.saturating_mul(2).saturating_add(1);
        CheckStep::SendInterim
    }
}
