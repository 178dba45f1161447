//! Whether a server may have run a request whose caller left while it was there.
//!
//! Load answered: callers leave many requests at once, because their VM stood still or their servers
//! are slow. Those that servers have begun to run take their prompts from the tokens of an account; all
//! others must cost nothing, or the account runs out of tokens that nobody used.

use std::time::Duration;

use super::attempt_failure::AttemptFailure;

/// How long a server may still tell that it has begun to run a request whose caller has left: many times
/// the network latency. The connection is closed then.
pub const ANSWER_TIME: Duration = Duration::from_millis(100);
/// The longest time until that is known: [`ANSWER_TIME`] for the head of the response, and again for
/// its first event.
pub const MAX_SETTLING_TIME: Duration = Duration::from_millis(250);

/// The last that a server sent of a response after its VM had ended the request's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastSign {
    /// A part of the body.
    Body,
    /// The proper end of the connection, or of a body without any data.
    ProperEnd,
    /// The connection failed.
    Failure,
    /// Nothing within [`ANSWER_TIME`].
    Nothing {
        /// Whether the VM has lost its path to the server.
        is_path_lost: bool,
    },
}

impl LastSign {
    /// Returns the sign of a connection that ended with a failure.
    pub fn of_failure(failure: AttemptFailure) -> Self {
        if failure == AttemptFailure::Closed { Self::ProperEnd } else { Self::Failure }
    }

    /// Returns whether the server may have begun to run the request.
    ///
    /// A server runs a stream from its first event on, and what it sent before the end of the connection
    /// arrives before that end. One that does not stream may run a request long before it responds.
    pub fn may_have_run(self, is_stream: bool) -> bool {
        match self {
            Self::Body | Self::Failure => true,
            Self::ProperEnd => !is_stream,
            Self::Nothing { is_path_lost } => !is_stream || is_path_lost,
        }
    }
}
