//! The ways to choose a backend server, so that they can be measured side by side.

use serde::{Deserialize, Serialize};

/// A way to choose a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Any usable server, at random.
    Random,
    /// Each usable server in turn.
    RoundRobin,
    /// The server with the fewest requests in progress.
    LeastOutstanding,
    /// The better of two servers drawn at random.
    #[default]
    PowerOfTwoChoices,
}
