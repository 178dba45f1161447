//! What a failed attempt shows about its backend server.
//!
//! A lost path, or the end of the VM through which the connection was opened, looks like a server that
//! resets its connections or sends nothing. Neither makes up bytes, and a connection through another VM
//! is closed properly only if the server closed it.

use crate::routing::circuit_breaker::AttemptVerdict;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The server sent what is no valid response.
    Invalid,
    /// The connection was closed properly before the end of the response.
    Closed,
    /// The connection did not open, was reset or stayed silent.
    Lost,
}

impl AttemptFailure {
    /// Returns how a response failed that ended too early without an error. `marks_end` says whether
    /// its framing does more than close the connection at the end.
    pub fn of_early_end(marks_end: bool) -> Self {
        if marks_end { Self::Invalid } else { Self::Closed }
    }

    /// Returns what the failure shows about the server. `is_relayed` says whether the connection was
    /// opened through another VM, `is_path_lost` whether the path of this VM counts as lost.
    pub fn verdict(self, is_relayed: bool, is_path_lost: bool) -> AttemptVerdict {
        let is_of_server = match self {
            Self::Invalid => true,
            Self::Closed => is_relayed || !is_path_lost,
            Self::Lost => !is_relayed && !is_path_lost,
        };
        if is_of_server { AttemptVerdict::Failed } else { AttemptVerdict::Neutral }
    }
}
