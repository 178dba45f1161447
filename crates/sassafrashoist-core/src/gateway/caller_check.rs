//! Whether a caller whose stream has ended still waits for its response.
//!
//! A caller that closes its connection and one that closes only its writing side look alike: both end
//! their stream. They differ in what their kernels do with bytes that arrive later: the connection of a
//! caller that left is reset, one that still reads accepts them. An interim response, which HTTP allows
//! before each response, is therefore sent to such a caller from time to time. Within a response that is
//! sent in chunks, a leading zero of the length of the next chunk serves the same purpose.

use std::time::Duration;

/// The time between two looks at the connection.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether a caller whose stream has ended is asked whether it is still there before its request
/// is sent, because the request may have waited for this time in this VM.
///
/// A VM that is short of processor time takes long to read a request, to open a connection and to check
/// the caller, each for itself, so that a request could be sent long after its caller had left. One that
/// is sent soon after it was read need not wait for its caller.
pub fn is_asked_before_sending(waited: Duration) -> bool {
    waited >= CHECK_INTERVAL
}

/// What is known of the response when a caller is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseProgress {
    /// Nothing of the response has been written, and the caller knows interim responses.
    NotStarted,
    /// The response is sent in chunks, and all that were begun have been written.
    BetweenChunks,
    /// Nothing may be sent: bytes are left in a buffer, the caller knows no interim responses, or the
    /// response has no chunks. What is written next shows whether the caller is there.
    NothingAllowed,
}

/// What to do at a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckStep {
    /// Sends an interim response, whose fate the next checks show.
    SendInterim,
    /// Sends a leading zero of the length of the next chunk, whose fate the next checks show.
    SendLeadingZero,
    /// Only looks whether the connection has failed.
    Look,
}

/// The checks of a caller whose stream has ended within a request.
///
/// The first check sends nothing, so that a prompt answer comes without interim responses. The time
/// between two of them doubles, so that few are sent in a request of any length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerCheck {
    check_count: u32,
    next_send_at: u32,
}

impl Default for CallerCheck {
    fn default() -> Self {
        Self { check_count: 0, next_send_at: 1 }
    }
}

impl CallerCheck {
    /// Returns the step of the next check. The first is due at once, the others [`CHECK_INTERVAL`] after
    /// the one before.
    pub fn next_step(&mut self, progress: ResponseProgress) -> CheckStep {
        let check = self.check_count;
        self.check_count = self.check_count.saturating_add(1);
        let step = match progress {
            ResponseProgress::NotStarted => CheckStep::SendInterim,
            ResponseProgress::BetweenChunks => CheckStep::SendLeadingZero,
            ResponseProgress::NothingAllowed => return CheckStep::Look,
        };
        if check < self.next_send_at {
            return CheckStep::Look;
        }
        self.next_send_at = check.saturating_mul(2);
        step
    }
}
