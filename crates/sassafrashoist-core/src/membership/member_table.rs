//! The members of the fleet as one VM sees them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::heartbeat::{ActiveBundleId, Heartbeat};
use super::member::{Member, MemberView, PlatformListing};
use super::member_change::{ChangeReason, MemberChange};
use super::member_state::MemberState;
use super::member_update::MemberUpdate;
use super::membership_timing::MembershipTiming;
use crate::ids::{DataCentreId, Incarnation, Timestamp, VmId};
use crate::rendezvous::rank_owners;

/// How often an update is sent with priority, for each doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;

/// The members of the fleet as one VM sees them, itself included.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberUpdate,
    members: BTreeMap<VmId, Member>,
    timing: MembershipTiming,
    last_tick: Option<Timestamp>,
    last_response: Option<Timestamp>,
    local_order: VecDeque<VmId>,
    fleet_order: VecDeque<VmId>,
    next_repeated: Option<VmId>,
}

impl MemberTable {
    /// Creates a table that has no member but this VM.
    pub fn new(
        vm_id: VmId,
        data_centre_id: DataCentreId,
        incarnation: Incarnation,
        timing: MembershipTiming,
    ) -> Self {
        let own = MemberUpdate {
            vm_id,
            data_centre_id,
            incarnation,
            revision: 0,
            state: MemberState::Alive,
        };
        Self {
            own,
            members: BTreeMap::new(),
            timing,
            last_tick: None,
            last_response: None,
            local_order: VecDeque::new(),
            fleet_order: VecDeque::new(),
            next_repeated: None,
        }
    }

    /// Adds a VM from which no update was received yet, unless the table has it already.
    pub fn add_peer(&mut self, vm_id: VmId, data_centre_id: DataCentreId, now: Timestamp) {
        let member = Member::new(vm_id.clone(), data_centre_id, now);
        self.members.entry(vm_id).or_insert(member);
    }

    /// Returns the current incarnation of this VM.
    pub fn incarnation(&self) -> Incarnation {
        self.own.incarnation
    }

    /// Returns the timing.
    pub fn timing(&self) -> &MembershipTiming {
        &self.timing
    }

    /// Returns the state of a VM; `None` for one that is not in the table.
    pub fn state_of(&self, vm_id: &str) -> Option<MemberState> {
        if vm_id == self.own.vm_id {
            return Some(self.own.state);
        }
        self.members.get(vm_id).map(Member::state)
    }

    /// Returns whether an incarnation of a VM has ended: declared gone, or followed by a newer one.
    pub fn is_gone(&self, vm_id: &str, incarnation: Incarnation) -> bool {
        if vm_id == self.own.vm_id {
            return incarnation < self.own.incarnation;
        }
        self.members.get(vm_id).is_some_and(|member| {
            let newest = &member.update;
            newest.incarnation > incarnation
                || (newest.incarnation == incarnation && newest.state == MemberState::Gone)
        })
    }

    /// Returns whether this VM may act on its state: false after a pause, until the next round
    /// gives it a new incarnation.
    pub fn may_act(&self, now: Timestamp) -> bool {
        self.last_tick.is_none_or(|at| now.saturating_sub(at) <= self.timing.pause_bound())
    }

    /// Returns the VMs of a data centre that may be given a role, in order of their ids.
    pub fn eligible_of(&self, data_centre_id: &str) -> Vec<VmId> {
        let mut vm_ids: BTreeSet<VmId> = self
            .members
            .values()
            .filter(|member| member.update.data_centre_id == data_centre_id && member.is_eligible())
            .map(|member| member.update.vm_id.clone())
            .collect();
        if self.own.data_centre_id == data_centre_id && self.own.state == MemberState::Alive {
            vm_ids.insert(self.own.vm_id.clone());
        }
        vm_ids.into_iter().collect()
    }

    /// Returns every member but this VM.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns every member but this VM as it appears in state dumps.
    pub fn view(&self) -> Vec<MemberView> {
        self.members.values().map(Member::view).collect()
    }

    /// Returns the current update about every VM, this one included.
    pub fn updates(&self) -> Vec<MemberUpdate> {
        let mut updates: Vec<_> =
            self.members.values().map(|member| member.update.clone()).collect();
        updates.push(self.own.clone());
        updates.sort_by(|a, b| a.vm_id.cmp(&b.vm_id));
        updates
    }

    /// Starts a round: detects a pause of this VM, and declares VMs gone that were suspect for too
    /// long.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        if !self.may_act(now) {
            changes.push(self.renew_incarnation(now, ChangeReason::Paused));
            self.restart_suspect_timeouts(now);
        }
        self.last_tick = Some(now);
        let vm_ids: Vec<VmId> = self.members.keys().cloned().collect();
        for vm_id in vm_ids {
            changes.extend(self.expire(&vm_id, now));
        }
        changes
    }

    /// Chooses the VMs that get a heartbeat in this round: one of this VM's data centre, and others
    /// from the whole fleet.
    ///
    /// Each VM is chosen once before any is chosen again, so the loss of a VM is detected in
    /// bounded time.
    pub fn choose_targets(&mut self, seed: u64) -> Vec<VmId> {
        let mut targets = BTreeSet::new();
        if self.local_order.is_empty() {
            self.local_order = self.shuffle_members(seed, true);
        }
        targets.extend(self.local_order.pop_front());
        while targets.len() < self.timing.fan_out {
            if self.fleet_order.is_empty() {
                self.fleet_order = self.shuffle_members(seed, false);
            }
            let Some(vm_id) = self.fleet_order.pop_front() else { break };
            let is_repeated = !targets.insert(vm_id);
            if is_repeated && self.fleet_order.is_empty() {
                break;
            }
        }
        targets.into_iter().collect()
    }

    /// Chooses VMs to ask for a probe of a VM that does not respond to this one.
    pub fn choose_probe_helpers(&self, vm_id: &str, count: usize) -> Vec<VmId> {
        let candidates = self
            .members
            .values()
            .filter(|member| member.is_reachable && member.update.vm_id != vm_id)
            .map(|member| member.update.vm_id.as_str());
        rank_owners(vm_id, candidates).into_iter().take(count).map(str::to_owned).collect()
    }

    /// Creates the heartbeat for a VM.
    pub fn make_heartbeat(&mut self, to_vm_id: &str, bundle: ActiveBundleId) -> Heartbeat {
        let mut chosen: Vec<VmId> = Vec::new();
        if self.members.contains_key(to_vm_id) {
            chosen.push(to_vm_id.to_owned());
        }
        chosen.extend(self.choose_new_updates(to_vm_id));
        chosen.extend(self.choose_repeated_updates());
        chosen.dedup();
        chosen.truncate(self.timing.max_updates);
        let mut updates = Vec::new();
        for vm_id in chosen {
            if let Some(member) = self.members.get_mut(&vm_id) {
                member.sends_left = member.sends_left.saturating_sub(1);
                updates.push(member.update.clone());
            }
        }
        Heartbeat { sender: self.own.clone(), updates, bundle }
    }

    /// Applies the heartbeat of another VM.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> Vec<MemberChange> {
        let mut changes = self.apply_update(&heartbeat.sender, now);
        for update in &heartbeat.updates {
            changes.extend(self.apply_update(update, now));
        }
        if let Some(member) = self.members.get_mut(&heartbeat.sender.vm_id) {
            member.bundle = heartbeat.bundle.clone();
        }
        changes
    }

    /// Records that a VM responded to this VM.
    pub fn record_response(&mut self, vm_id: &str, now: Timestamp) {
        self.last_response = Some(now);
        if let Some(member) = self.members.get_mut(vm_id) {
            member.is_reachable = true;
        }
    }

    /// Records that a VM did not respond to this VM; `is_reached_by_other` when it responded to
    /// another VM that this one asked for a probe.
    pub fn record_failure(
        &mut self,
        vm_id: &str,
        is_reached_by_other: bool,
        now: Timestamp,
    ) -> Vec<MemberChange> {
        let Some(member) = self.members.get_mut(vm_id) else {
            return Vec::new();
        };
        member.is_reachable = false;
        if is_reached_by_other || member.update.state >= MemberState::Suspect {
            return Vec::new();
        }
        let update = MemberUpdate { state: MemberState::Suspect, ..member.update.clone() };
        self.replace(update, ChangeReason::NoAnswer, now)
    }

    /// Applies the platform's list; VMs that were never on it are left as they are.
    pub fn apply_platform_list(&mut self, listed: &BTreeMap<VmId, PlatformListing>) {
        for (vm_id, member) in &mut self.members {
            member.listed = match (listed.get(vm_id), member.listed) {
                (Some(listed), _) => *listed,
                (None, PlatformListing::Never) => PlatformListing::Never,
                (None, _) => PlatformListing::Removed,
            };
        }
    }

    /// Announces that this VM is being taken out of service.
    pub fn start_leaving(&mut self) {
        if self.own.state == MemberState::Leaving {
            return;
        }
        self.own.state = MemberState::Leaving;
        self.own.revision += 1;
    }

    fn apply_update(&mut self, update: &MemberUpdate, now: Timestamp) -> Vec<MemberChange> {
        if update.vm_id == self.own.vm_id {
            return self.apply_own_update(update, now);
        }
        if !self.members.contains_key(&update.vm_id) {
            self.add_peer(update.vm_id.clone(), update.data_centre_id.clone(), now);
        }
        let is_newer =
            self.members.get(&update.vm_id).is_some_and(|member| update.replaces(&member.update));
        if !is_newer {
            return Vec::new();
        }
        self.replace(update.clone(), ChangeReason::Told, now)
    }

    fn apply_own_update(&mut self, update: &MemberUpdate, now: Timestamp) -> Vec<MemberChange> {
        let is_declared_gone =
            update.incarnation >= self.own.incarnation && update.state == MemberState::Gone;
        if is_declared_gone || update.incarnation > self.own.incarnation {
            self.own.incarnation = self.own.incarnation.max(update.incarnation);
            return vec![self.renew_incarnation(now, ChangeReason::DeclaredGone)];
        }
        if update.replaces(&self.own) {
            self.supersede_update(update);
        }
        Vec::new()
    }

    /// Raises the revision of this VM above that of another VM's update about it, which refutes a
    /// suspicion. A leaving state is adopted.
    fn supersede_update(&mut self, update: &MemberUpdate) {
        if update.state == MemberState::Leaving {
            self.own.state = MemberState::Leaving;
        }
        self.own.revision = update.revision.saturating_add(1);
    }

    fn renew_incarnation(&mut self, now: Timestamp, reason: ChangeReason) -> MemberChange {
        let by_clock = now.as_millis() as Incarnation;
        self.own.incarnation = by_clock.max(self.own.incarnation + 1);
        self.own.revision = 0;
        MemberChange {
            vm_id: self.own.vm_id.clone(),
            incarnation: self.own.incarnation,
            state: self.own.state,
            reason,
        }
    }

    /// Restarts the timeout of every suspicion: a VM that did not respond to this one during a
    /// pause may have responded to others.
    fn restart_suspect_timeouts(&mut self, now: Timestamp) {
        self.last_response = None;
        for member in self.members.values_mut() {
            member.changed_at = now;
        }
    }

    fn expire(&mut self, vm_id: &str, now: Timestamp) -> Vec<MemberChange> {
        let Some(member) = self.members.get_mut(vm_id) else {
            return Vec::new();
        };
        member.damping.decay(now);
        let suspect_time = now.saturating_sub(member.changed_at);
        let is_due = suspect_time >= self.timing.suspect_timeout;
        if member.update.state != MemberState::Suspect || !is_due {
            return Vec::new();
        }
        let was_connected = self.last_response.is_some_and(|at| at >= member.changed_at);
        let is_local = member.update.data_centre_id == self.own.data_centre_id;
        let reason = match member.listed {
            PlatformListing::Removed => ChangeReason::Unlisted,
            _ if is_local && was_connected => ChangeReason::SuspectTooLong,
            _ => return Vec::new(),
        };
        let update = MemberUpdate { state: MemberState::Gone, ..member.update.clone() };
        self.replace(update, reason, now)
    }

    fn replace(
        &mut self,
        update: MemberUpdate,
        reason: ChangeReason,
        now: Timestamp,
    ) -> Vec<MemberChange> {
        let sends = SENDS_PER_DOUBLING * (self.members.len() + 1).ilog2().max(1);
        let Some(member) = self.members.get_mut(&update.vm_id) else {
            return Vec::new();
        };
        let is_change =
            update.state != member.update.state || update.incarnation != member.update.incarnation;
        let was_known = member.update.incarnation > 0;
        if was_known && update.state == MemberState::Suspect && is_change {
            member.damping.count_flap(now);
        }
        if is_change {
            member.changed_at = now;
        }
        member.update = update;
        member.sends_left = sends;
        if !is_change {
            return Vec::new();
        }
        vec![MemberChange {
            vm_id: member.update.vm_id.clone(),
            incarnation: member.update.incarnation,
            state: member.update.state,
            reason,
        }]
    }

    /// Returns the members whose updates have been sent least often since they changed.
    fn choose_new_updates(&self, to_vm_id: &str) -> Vec<VmId> {
        let mut new_updates: Vec<_> = self
            .members
            .values()
            .filter(|member| member.sends_left > 0 && member.update.vm_id != to_vm_id)
            .map(|member| (std::cmp::Reverse(member.sends_left), &member.update.vm_id))
            .collect();
        new_updates.sort();
        // The rest of the heartbeat repeats old updates, for VMs that missed them.
        let count = self.timing.max_updates.saturating_sub(2);
        new_updates.into_iter().take(count).map(|(_, vm_id)| vm_id.clone()).collect()
    }

    /// Returns members in rotation, whether or not their updates are new.
    fn choose_repeated_updates(&mut self) -> Vec<VmId> {
        let from = self.next_repeated.clone().unwrap_or_default();
        let later = self.members.range(from.clone()..);
        let earlier = self.members.range(..from);
        let mut rotated = later.chain(earlier).map(|(vm_id, _)| vm_id.clone());
        let chosen: Vec<VmId> = rotated.by_ref().take(self.timing.max_updates).collect();
        self.next_repeated = rotated.next().or_else(|| chosen.first().cloned());
        chosen
    }

    fn shuffle_members(&self, seed: u64, is_local_only: bool) -> VecDeque<VmId> {
        let own_data_centre_id = &self.own.data_centre_id;
        let candidates = self
            .members
            .values()
            .filter(|m| !is_local_only || m.update.data_centre_id == *own_data_centre_id)
            .map(|member| member.update.vm_id.as_str());
        let key = format!("{seed}/{}", self.own.vm_id);
        rank_owners(&key, candidates).into_iter().map(str::to_owned).collect()
    }
}
