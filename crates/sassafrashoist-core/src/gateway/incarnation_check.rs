//! Whether a backend server may have started again under its id, before a stream goes on there.
//!
//! A server that restarts may have another software version, and its responses do not name it. A VM
//! that does not read the server list asks other VMs whether their lists have the same incarnation.

use std::time::Duration;

/// The age of what a VM knows up to which it does not ask others: longer than the delay between two
/// reads while servers write.
const MAX_UNCHECKED_AGE: Duration = Duration::from_millis(700);
/// The age up to which a VM counts as in step: longer than the list ages until its next read.
const MAX_AGE_IN_STEP: Duration = Duration::from_secs(3);

/// What the server list of another VM has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedIncarnation {
    /// The same incarnation of the server.
    Same,
    /// Another one, or not the server.
    Other,
}

/// The check of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncarnationCheck {
    is_in_step: bool,
    has_others: bool,
    views: Vec<ListedIncarnation>,
}

impl IncarnationCheck {
    /// Begins a check by a VM whose knowledge of the server has this age; returns `None` if none is
    /// needed. `other_count` is the number of other VMs that are asked.
    pub fn begin(knowledge_age: Option<Duration>, other_count: usize) -> Option<Self> {
        let is_younger_than = |limit| knowledge_age.is_some_and(|age| age <= limit);
        (!is_younger_than(MAX_UNCHECKED_AGE)).then(|| Self {
            is_in_step: is_younger_than(MAX_AGE_IN_STEP),
            has_others: other_count > 0,
            views: Vec::new(),
        })
    }

    /// Records the answer of another VM; returns whether further answers do not matter. One VM in
    /// step is enough for a VM that is likely to be in step too.
    pub fn record(&mut self, view: ListedIncarnation) -> bool {
        self.views.push(view);
        self.is_in_step || view == ListedIncarnation::Other
    }

    /// Returns whether the server is the one of the listing, as far as that can be known. A VM without
    /// others only has its own list.
    pub fn is_confirmed(&self) -> bool {
        if self.views.is_empty() {
            return self.is_in_step || !self.has_others;
        }
        !self.views.contains(&ListedIncarnation::Other)
    }
}
