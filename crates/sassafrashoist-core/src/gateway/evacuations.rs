//! The data centres that operators have evacuated: no request is sent to their servers.
//!
//! The orders are the newest records of their keys in the topic of the configuration, and a VM holds a
//! copy of them as of a position in that topic. Records, snapshots and the copies of other VMs replace
//! each other by this position, so the copy always equals the log at some offset. A VM that gets
//! nothing newer keeps the last orders in force, and reads the topic itself when its copy has not been
//! confirmed for a part of the time in which an order is to take effect: the VMs that read the topic
//! for a data centre may all have ended, be frozen, or run a build that does not announce orders.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Uptime;
use super::config_times::ConfigTimes;
use crate::ids::{DataCentreId, LogOffset};

/// A position in the topic of the orders. The log service begins a new era when it has lost records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrdersPosition {
    /// The era of the log service.
    pub era: u64,
    /// The offset after the last record.
    pub end: LogOffset,
}

/// What the newest record of an order says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderState {
    /// The data centre is evacuated.
    InForce,
    /// It cannot be read. An earlier order for the data centre stays in force.
    Unreadable,
}

/// One record of an order; `state` is `None` if it revokes the order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// The data centre.
    pub data_centre_id: DataCentreId,
    /// What the record says.
    pub state: Option<OrderState>,
}

/// What a VM tells others about the orders that it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersAnnouncement {
    /// The position as of which the orders are complete.
    pub position: OrdersPosition,
    /// The time in milliseconds since the sender knew that no newer record existed.
    pub known_ago_ms: u64,
    /// The orders.
    pub orders: Vec<(DataCentreId, OrderState)>,
}

/// The orders of which the copy of this VM has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderChanges {
    /// Data centres that are evacuated from now on.
    pub evacuated: Vec<DataCentreId>,
    /// Data centres that are in use again.
    pub revoked: Vec<DataCentreId>,
    /// Data centres whose order cannot be read.
    pub unreadable: Vec<DataCentreId>,
}

/// The data centres that operators have evacuated, as far as this VM knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    orders: BTreeMap<DataCentreId, OrderState>,
    position: Option<OrdersPosition>,
    known_at: Option<Uptime>,
    read_due_at: Uptime,
}

impl Evacuations {
    /// Returns whether no request may be sent to servers of a data centre.
    pub fn is_evacuated(&self, data_centre_id: &str) -> bool {
        self.orders.get(data_centre_id) == Some(&OrderState::InForce)
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        let in_force = self.orders.iter().filter(|(_, state)| **state == OrderState::InForce);
        in_force.map(|(data_centre_id, _)| data_centre_id)
    }

    /// Returns the latest time at which the copy was known to be the newest.
    pub fn known_at(&self) -> Option<Uptime> {
        self.known_at
    }

    /// Returns when to read the topic unless the copy is confirmed before.
    pub fn read_due_at(&self) -> Uptime {
        self.read_due_at
    }

    /// Replaces the copy by the newest record of each key as of a position, unless the copy is newer.
    pub fn record_snapshot(
        &mut self,
        position: OrdersPosition,
        orders: impl IntoIterator<Item = (DataCentreId, OrderState)>,
    ) -> OrderChanges {
        if self.position.is_some_and(|known| known >= position) {
            return OrderChanges::default();
        }
        self.position = Some(position);
        let mut newest = BTreeMap::new();
        for (data_centre_id, state) in orders {
            let state =
                if self.is_evacuated(&data_centre_id) { OrderState::InForce } else { state };
            newest.insert(data_centre_id, state);
        }
        let before = std::mem::replace(&mut self.orders, newest);
        self.changes_since(&before)
    }

    /// Applies the records that follow each other up to a position; those that the copy already
    /// contains are left out.
    pub fn record_appended(
        &mut self,
        position: OrdersPosition,
        records: impl IntoIterator<Item = (LogOffset, OrderRecord)>,
    ) -> OrderChanges {
        let before = self.orders.clone();
        let known = self.position.filter(|known| known.era == position.era);
        for (offset, record) in records {
            if known.is_some_and(|known| offset < known.end) {
                continue;
            }
            let is_evacuated = self.is_evacuated(&record.data_centre_id);
            match record.state {
                None => drop(self.orders.remove(&record.data_centre_id)),
                Some(OrderState::Unreadable) if is_evacuated => {}
                Some(state) => drop(self.orders.insert(record.data_centre_id, state)),
            }
        }
        self.position = self.position.max(Some(position));
        self.changes_since(&before)
    }

    /// Records that no record newer than the copy existed at a time; `random` is from 0 to 1.
    pub fn record_confirmed(&mut self, at: Uptime, times: &ConfigTimes, random: f64) {
        if self.known_at.is_none_or(|known_at| known_at < at) {
            self.known_at = Some(at);
            self.read_due_at = at + times.knowledge_age() + times.log_read_spread().mul_f64(random);
        }
    }

    /// Returns what this VM tells others; `None` before it has read the topic.
    pub fn announcement(&self, now: Uptime) -> Option<OrdersAnnouncement> {
        let known_ago = now.saturating_sub(self.known_at?);
        Some(OrdersAnnouncement {
            position: self.position?,
            known_ago_ms: known_ago.as_millis() as u64,
            orders: self.orders.iter().map(|(id, state)| (id.clone(), *state)).collect(),
        })
    }

    /// Records what another VM announces that knew the end of the topic at `known_at`. An older copy
    /// than that of this VM says nothing.
    pub fn hear(
        &mut self,
        announced: OrdersAnnouncement,
        known_at: Uptime,
        times: &ConfigTimes,
        random: f64,
    ) -> OrderChanges {
        let is_older = self.position.is_some_and(|known| known > announced.position);
        if is_older {
            return OrderChanges::default();
        }
        let changes = self.record_snapshot(announced.position, announced.orders);
        self.record_confirmed(known_at, times, random);
        changes
    }

    fn changes_since(&self, before: &BTreeMap<DataCentreId, OrderState>) -> OrderChanges {
        let mut changes = OrderChanges::default();
        for (data_centre_id, state) in &self.orders {
            if before.get(data_centre_id) != Some(state) {
                let changed = match state {
                    OrderState::InForce => &mut changes.evacuated,
                    OrderState::Unreadable => &mut changes.unreadable,
                };
                changed.push(data_centre_id.clone());
            }
        }
        let was_in_force = before.iter().filter(|(_, state)| **state == OrderState::InForce);
        let revoked = was_in_force.filter(|(id, _)| !self.is_evacuated(id));
        changes.revoked = revoked.map(|(id, _)| id.clone()).collect();
        changes
    }
}
