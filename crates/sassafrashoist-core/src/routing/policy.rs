//! The policies for choosing a backend server, which experiments compare with each other.

use serde::{Deserialize, Serialize};

/// A policy for choosing a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Any available server, at random.
    Random,
    /// The available servers in turn.
    RoundRobin,
    /// The server with the fewest requests in progress.
    LeastOutstanding,
    /// The less loaded of two servers sampled at random.
    #[serde(rename = "power-of-two")]
    PowerOfTwoChoices,
    /// The server of lowest cost among two sampled at random and those that likely cache the
    /// prompt's prefix.
    #[default]
    #[serde(rename = "chosen")]
    PrefixAware,
}

impl RoutingPolicy {
    /// All policies, with the default last.
    pub const ALL: [RoutingPolicy; 5] = [
        RoutingPolicy::Random,
        RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastOutstanding,
        RoutingPolicy::PowerOfTwoChoices,
        RoutingPolicy::PrefixAware,
    ];

    /// Returns the name in settings and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            RoutingPolicy::Random => "random",
            RoutingPolicy::RoundRobin => "round-robin",
            RoutingPolicy::LeastOutstanding => "least-outstanding",
            RoutingPolicy::PowerOfTwoChoices => "power-of-two",
            RoutingPolicy::PrefixAware => "chosen",
        }
    }
}
