//! A set whose members can be sampled by position.

use std::collections::HashMap;

use super::server_entry::ServerIndex;

/// A set of servers with insertion, removal and sampling in constant time.
#[derive(Debug, Default)]
pub struct SampleSet {
    members: Vec<ServerIndex>,
    positions: HashMap<ServerIndex, usize>,
}

impl SampleSet {
    /// Adds a member; does nothing if it is already there.
    pub fn insert(&mut self, member: ServerIndex) {
        if self.positions.contains_key(&member) {
            return;
        }
        self.positions.insert(member, self.members.len());
        self.members.push(member);
    }

    /// Removes a member if it is there.
    pub fn remove(&mut self, member: ServerIndex) {
        let Some(position) = self.positions.remove(&member) else {
            return;
        };
        self.members.swap_remove(position);
        if let Some(moved) = self.members.get(position) {
            self.positions.insert(*moved, position);
        }
    }

    /// Returns whether a server is a member.
    pub fn contains(&self, member: ServerIndex) -> bool {
        self.positions.contains_key(&member)
    }

    /// Returns the members in no particular order.
    pub fn members(&self) -> &[ServerIndex] {
        &self.members
    }

    /// Returns the member at position `number` modulo the size, or the next one after it that is
    /// not excluded.
    pub fn pick(&self, number: u64, excluded: &[ServerIndex]) -> Option<ServerIndex> {
        let count = self.members.len();
        let start = (number % count.max(1) as u64) as usize;
        let steps = count.min(excluded.len() + 1);
        (0..steps)
            .map(|step| self.members[(start + step) % count])
            .find(|member| !excluded.contains(member))
    }
}
