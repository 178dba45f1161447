//! The order in which one VM reads the newest records of its topics.
//!
//! After an outage and at the start, a VM has to read the newest records of all its topics, and so
//! do all other VMs. They share the read rate of the log service, and the topics of one VM share its
//! link. A VM without the newest configuration refuses requests that it should serve, and one
//! without servers cannot use tokens, so that the topics are read one after the other.
//!
//! The delay is bounded: a topic that cannot be read does not keep the VM from reading the others.

use std::time::Duration;

use super::Uptime;

/// The longest delay of a topic, from when the VM has a connection to read it.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// A topic; the first one is read first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TopicRank {
    /// The fleet configuration.
    Config,
    /// The list of backend servers.
    Servers,
    /// The ledger of prepaid tokens.
    Ledger,
}

const RANK_COUNT: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TopicState {
    /// The newest records are yet to be read; `connected_at` is since when there is a connection.
    Behind { connected_at: Option<Uptime> },
    /// The newest records were read.
    Current,
}

/// The order in which one VM reads the newest records of its topics.
#[derive(Debug)]
pub struct ReadPrecedence {
    states: [TopicState; RANK_COUNT],
}

impl Default for ReadPrecedence {
    fn default() -> Self {
        Self { states: [TopicState::Behind { connected_at: None }; RANK_COUNT] }
    }
}

impl ReadPrecedence {
    /// Records that there is a connection on which the newest records of a topic can be read.
    /// Returns until when the read has to wait for topics that are read first, at most.
    pub fn record_ready(&mut self, rank: TopicRank, now: Uptime) -> Option<Uptime> {
        let state = &mut self.states[rank as usize];
        let connected_at = match *state {
            TopicState::Behind { connected_at: Some(connected_at) } => connected_at,
            TopicState::Behind { connected_at: None } | TopicState::Current => now,
        };
        *state = TopicState::Behind { connected_at: Some(connected_at) };
        let own_limit = connected_at + MAX_DELAY;
        let limits = self.states[..rank as usize].iter().filter_map(|earlier| match earlier {
            TopicState::Behind { connected_at: Some(at) } => Some(own_limit.min(*at + MAX_DELAY)),
            TopicState::Behind { connected_at: None } => Some(own_limit),
            TopicState::Current => None,
        });
        limits.max().filter(|limit| now < *limit)
    }

    /// Records that no connection to read a topic could be opened.
    pub fn record_disconnected(&mut self, rank: TopicRank) {
        self.states[rank as usize] = TopicState::Behind { connected_at: None };
    }

    /// Records that a topic was read; returns whether it was not before.
    pub fn record_current(&mut self, rank: TopicRank) -> bool {
        let state = std::mem::replace(&mut self.states[rank as usize], TopicState::Current);
        state != TopicState::Current
    }
}
