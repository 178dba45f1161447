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
    #[serde(rename = "power-of-two")]
    PowerOfTwoChoices,
    /// The best of two servers drawn at random and those that likely cache the prompt's prefix.
    #[default]
    Chosen,
}

impl RoutingPolicy {
    /// All ways, the chosen one last.
    pub const ALL: [RoutingPolicy; 5] = [
        RoutingPolicy::Random,
        RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastOutstanding,
        RoutingPolicy::PowerOfTwoChoices,
        RoutingPolicy::Chosen,
    ];

    /// The name in settings and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            RoutingPolicy::Random => "random",
            RoutingPolicy::RoundRobin => "round-robin",
            RoutingPolicy::LeastOutstanding => "least-outstanding",
            RoutingPolicy::PowerOfTwoChoices => "power-of-two",
            RoutingPolicy::Chosen => "chosen",
        }
    }
}
