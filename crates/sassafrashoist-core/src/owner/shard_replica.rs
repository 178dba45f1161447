//! One VM's replica of a shard: its role, its state and what its backup has of it.
//!
//! A view in the ledger names the primary and the backup of a shard. The primary sends each change
//! to the backup and answers for it only when [`ShardReplica::commit_state`] says so. The backup refuses an
//! older epoch, so a primary that was paused while its backup took over can commit nothing: it is
//! fenced by the backup and not by a clock. A primary whose view has no backup commits alone,
//! because only itself can continue such a view.
//!
//! Neither of the two may spend alone while it can reach neither the other nor the log. A part set
//! aside for that case could have been spent by a member that then died, so each crash of a
//! primary would strand the part. Requests go to another data centre instead.
//!
//! Draws are counted by totals: the account has counted some tokens as drawn, the ledger says how
//! many were drawn by this line of primaries, and the difference is credited. So neither a takeover
//! nor a repeated record credits a draw twice.

use std::collections::BTreeMap;
use std::time::Duration;

use super::budget_owner::BudgetOwner;
use super::replica_delta::{DeltaAnswer, ReplicaDelta, Sequence};
use super::transfer::{Transfer, TransferRequest, TransferTable};
use crate::budgets::ledger::Ledger;
use crate::budgets::policy::BudgetPolicy;
use crate::budgets::record::{Draw, LedgerEvent, LedgerRecord};
use crate::budgets::shard::{ShardPlace, shard_of};
use crate::budgets::view::View;
use crate::ids::{BudgetId, Epoch, Incarnation, RouteId, Timestamp, Tokens, VmId};
use crate::owner::draw_policy::choose_draw;
use crate::requests::key_table::KeyTableLimits;

/// The epoch of a shard's first view, before which there were no entries.
const FIRST_EPOCH: Epoch = 1;

/// Counts the changes of a replica's state.
pub type ChangeNumber = u64;

/// What a replica is in the newest view it knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaRole {
    /// It is not named, or it lost the state that it was named for.
    None,
    /// It keeps a copy.
    Backup,
    /// It decides; with no backup it commits alone.
    Primary {
        /// The VM that must have each change.
        backup_vm_id: Option<VmId>,
    },
}

/// One VM's replica of a shard.
#[derive(Debug)]
pub struct ShardReplica {
    place: ShardPlace,
    vm_id: VmId,
    incarnation: Incarnation,
    role: ReplicaRole,
    view_epoch: Epoch,
    state_epoch: Option<Epoch>,
    owner: BudgetOwner,
    transfers: TransferTable,
    are_transfers_changed: bool,
    sequence: Sequence,
    pending: Option<(ReplicaDelta, ChangeNumber)>,
    needs_full: bool,
    backup_incarnation: Option<Incarnation>,
    change_count: ChangeNumber,
    committed_count: ChangeNumber,
    lost_count: ChangeNumber,
    transfers_change: ChangeNumber,
    short_tokens: BTreeMap<BudgetId, Tokens>,
    retry_windows: BTreeMap<RouteId, Duration>,
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitState {
    /// The backup has it, or none is needed.
    Committed,
    /// The backup has not answered yet.
    Waiting,
    /// This replica stopped being the primary before the backup had it.
    Lost,
}

impl ShardReplica {
    /// Creates the replica of a process that starts with nothing.
    pub fn new(place: ShardPlace, vm_id: VmId, incarnation: Incarnation) -> Self {
        Self {
            place,
            vm_id,
            incarnation,
            role: ReplicaRole::None,
            view_epoch: 0,
            state_epoch: None,
            owner: BudgetOwner::new(KeyTableLimits::default()),
            transfers: TransferTable::default(),
            are_transfers_changed: false,
            sequence: 0,
            pending: None,
            needs_full: false,
            backup_incarnation: None,
            change_count: 0,
            committed_count: 0,
            lost_count: 0,
            transfers_change: 0,
            short_tokens: BTreeMap::new(),
            retry_windows: BTreeMap::new(),
        }
    }

    /// Sets how long closed entries of each route are kept.
    pub fn set_retry_windows(&mut self, retry_windows: BTreeMap<RouteId, Duration>) {
        self.owner.set_retry_windows(retry_windows.clone());
        self.retry_windows = retry_windows;
    }

    /// Returns its role.
    pub fn role(&self) -> &ReplicaRole {
        &self.role
    }

    /// Returns whether it decides.
    pub fn is_primary(&self) -> bool {
        matches!(self.role, ReplicaRole::Primary { .. })
    }

    /// Returns whether it has the state of the newest view it knows.
    pub fn has_state(&self) -> bool {
        self.view_epoch > 0 && self.state_epoch >= Some(self.view_epoch)
    }

    /// Returns the epoch of the newest view it knows.
    pub fn view_epoch(&self) -> Epoch {
        self.view_epoch
    }

    /// Returns the epoch whose state it has.
    pub fn state_epoch(&self) -> Option<Epoch> {
        self.state_epoch
    }

    /// Returns the accounts and keys.
    pub fn owner(&self) -> &BudgetOwner {
        &self.owner
    }

    /// Returns the transfers.
    pub fn transfers(&self) -> &TransferTable {
        &self.transfers
    }

    /// Returns the number of the newest change.
    pub fn change_count(&self) -> ChangeNumber {
        self.change_count
    }

    /// Returns whether the primary may answer for a change.
    pub fn commit_state(&self, change: ChangeNumber) -> CommitState {
        if !self.is_primary() || change < self.lost_count {
            return CommitState::Lost;
        }
        if self.committed_count >= change {
            return CommitState::Committed;
        }
        CommitState::Waiting
    }

    /// Returns the VM that must have each change.
    pub fn backup_vm_id(&self) -> Option<&VmId> {
        match &self.role {
            ReplicaRole::Primary { backup_vm_id } => backup_vm_id.as_ref(),
            _ => None,
        }
    }

    /// Changes accounts and keys as the primary, and returns the change's number beside the result.
    ///
    /// Returns `None` when this replica is not the primary.
    pub fn change<T>(
        &mut self,
        change: impl FnOnce(&mut BudgetOwner) -> T,
    ) -> Option<(T, ChangeNumber)> {
        if !self.is_primary() {
            return None;
        }
        let result = change(&mut self.owner);
        if self.owner.is_changed() {
            self.count_change();
        }
        Some((result, self.change_count))
    }

    /// Gives held tokens to another data centre; `None` when none can be given.
    ///
    /// The transfer may leave once its change is committed.
    pub fn give(&mut self, request: TransferRequest) -> Option<ChangeNumber> {
        if !self.is_primary() {
            return None;
        }
        let held_tokens = self.owner.account(&request.budget_id).held_tokens;
        let ahead_tokens = if request.is_urgent { held_tokens / 2 } else { 0 };
        let tokens = request.wanted_tokens.max(ahead_tokens).min(held_tokens);
        if tokens == 0 || !self.owner.try_send(&request.budget_id, tokens) {
            return None;
        }
        self.transfers.open(self.place.clone(), request, tokens);
        Some(self.count_transfers_change())
    }

    /// Credits a transfer once; `None` when this replica is not the primary.
    ///
    /// The transfer may be acknowledged once the change is committed.
    pub fn take(&mut self, transfer: &Transfer) -> Option<ChangeNumber> {
        if !self.is_primary() {
            return None;
        }
        if self.transfers.take(transfer) {
            self.owner.receive(&transfer.budget_id, transfer.tokens);
        }
        Some(self.count_transfers_change())
    }

    /// Returns the open transfers once the backup has them all.
    pub fn transfers_to_send(&self) -> Vec<Transfer> {
        if self.commit_state(self.transfers_change) != CommitState::Committed {
            return Vec::new();
        }
        self.transfers.open_transfers()
    }

    /// Forgets a transfer that its taker has acknowledged.
    pub fn acknowledge(&mut self, transfer: &Transfer) {
        if self.is_primary() && self.transfers.acknowledge(transfer) {
            self.count_transfers_change();
        }
    }

    /// Takes up the role that a view in force gives this VM.
    pub fn enter_view(&mut self, view: &View) {
        if view.place != self.place || view.epoch <= self.view_epoch {
            return;
        }
        self.view_epoch = view.epoch;
        self.pending = None;
        let is_primary =
            view.primary_vm_id == self.vm_id && view.primary_incarnation == self.incarnation;
        if is_primary {
            self.become_primary(view);
        } else if self.state_epoch != Some(view.epoch) {
            self.clear();
        }
        if !is_primary && view.backup_vm_id.as_ref() == Some(&self.vm_id) {
            self.role = ReplicaRole::Backup;
        }
    }

    fn become_primary(&mut self, view: &View) {
        if view.is_fresh {
            self.clear();
            if view.epoch > FIRST_EPOCH {
                self.owner.lose_entries();
            }
            self.transfers = TransferTable::new(view.epoch);
        } else if self.state_epoch != Some(view.epoch - 1) {
            self.clear();
            return;
        }
        self.state_epoch = Some(view.epoch);
        self.role = ReplicaRole::Primary { backup_vm_id: view.backup_vm_id.clone() };
        self.needs_full = true;
        self.backup_incarnation = None;
        self.count_transfers_change();
    }

    fn clear(&mut self) {
        self.role = ReplicaRole::None;
        self.state_epoch = None;
        self.owner = BudgetOwner::new(KeyTableLimits::default());
        self.owner.set_retry_windows(self.retry_windows.clone());
        self.transfers = TransferTable::default();
        self.pending = None;
        self.change_count += 1;
        self.lost_count = self.change_count;
        self.transfers_change = self.change_count;
        self.committed_count = self.change_count;
    }

    /// Credits what the ledger says was drawn for this shard.
    pub fn count_drawn(&mut self, ledger: &Ledger, budget_id: &str) {
        if !self.is_primary() || shard_of(budget_id) != self.place.shard {
            return;
        }
        let share = ledger.share(&self.place.data_centre_id, budget_id);
        self.short_tokens.remove(budget_id);
        self.owner.count_drawn(budget_id, share.live_drawn_tokens());
        if self.owner.is_changed() {
            self.count_change();
        }
    }

    /// Credits what the ledger says was drawn of every budget of this shard.
    pub fn count_all_drawn(&mut self, ledger: &Ledger) {
        for budget_id in ledger.budgets.keys() {
            self.count_drawn(ledger, budget_id);
        }
    }

    /// Notes tokens that requests lack and the next draw should bring.
    pub fn note_short(&mut self, budget_id: &str, tokens: Tokens) {
        let short_tokens = self.short_tokens.entry(budget_id.to_owned()).or_default();
        *short_tokens = tokens.max(*short_tokens);
    }

    /// Returns the record by which the primary draws tokens that its budgets run short of.
    pub fn propose_draw(&self, ledger: &Ledger, policy: BudgetPolicy) -> Option<LedgerRecord> {
        let budget_ids = ledger.budgets.keys().filter(|id| shard_of(id) == self.place.shard);
        let drawn_tokens: BTreeMap<BudgetId, Tokens> = budget_ids
            .filter_map(|budget_id| {
                let share = ledger.share(&self.place.data_centre_id, budget_id);
                let held_tokens = self.owner.account(budget_id).held_tokens;
                let short_tokens = self.short_tokens.get(budget_id).copied().unwrap_or(0);
                let tokens = choose_draw(policy, &share, held_tokens, short_tokens);
                (tokens > 0).then(|| (budget_id.clone(), tokens))
            })
            .collect();
        if drawn_tokens.is_empty() {
            return None;
        }
        let budget_ids: Vec<BudgetId> = drawn_tokens.keys().cloned().collect();
        self.build_draw(ledger, drawn_tokens, budget_ids)
    }

    /// Returns the record by which the primary reports accounts without drawing.
    pub fn propose_checkpoint(
        &self,
        ledger: &Ledger,
        budget_ids: &[BudgetId],
    ) -> Option<LedgerRecord> {
        let own_ids = budget_ids.iter().filter(|id| shard_of(id) == self.place.shard);
        let is_unreported = |id: &&BudgetId| {
            let share = ledger.share(&self.place.data_centre_id, id);
            self.owner.account(id).settled_tokens != share.checkpoint.settled_tokens
        };
        let unreported: Vec<BudgetId> = own_ids.filter(is_unreported).cloned().collect();
        if unreported.is_empty() {
            return None;
        }
        self.build_draw(ledger, BTreeMap::new(), unreported)
    }

    fn build_draw(
        &self,
        ledger: &Ledger,
        drawn_tokens: BTreeMap<BudgetId, Tokens>,
        reported: Vec<BudgetId>,
    ) -> Option<LedgerRecord> {
        let shards = ledger.views.get(&self.place.data_centre_id)?;
        let in_force = shards.get(&self.place.shard)?;
        if !self.is_primary() || in_force.view.epoch != self.view_epoch {
            return None;
        }
        let accounts = reported.into_iter().map(|id| {
            let account = self.owner.account(&id);
            (id, account)
        });
        let checkpoint = accounts.collect();
        Some(LedgerRecord::new(LedgerEvent::Draw(Draw {
            place: self.place.clone(),
            epoch: self.view_epoch,
            draw_number: in_force.draw_count + 1,
            drawn_tokens,
            checkpoint,
        })))
    }

    /// Returns the delta to send to the backup, the same one until it is answered.
    ///
    /// Returns `None` when there is nothing to send or no backup.
    pub fn next_delta(&mut self) -> Option<ReplicaDelta> {
        let ReplicaRole::Primary { backup_vm_id: Some(_) } = &self.role else {
            return None;
        };
        if let Some((delta, _)) = &self.pending {
            return Some(delta.clone());
        }
        let is_idle = self.committed_count == self.change_count && !self.needs_full;
        if is_idle {
            return None;
        }
        let is_full = self.needs_full;
        let transfers = (is_full || self.are_transfers_changed).then(|| self.transfers.clone());
        let delta = ReplicaDelta {
            place: self.place.clone(),
            epoch: self.view_epoch,
            to_incarnation: self.backup_incarnation,
            from_sequence: self.sequence,
            to_sequence: self.sequence + 1,
            is_full,
            changes: self.owner.take_changes(is_full),
            transfers,
        };
        self.sequence += 1;
        self.needs_full = false;
        self.are_transfers_changed = false;
        self.pending = Some((delta.clone(), self.change_count));
        Some(delta)
    }

    /// Takes the backup's answer to a delta.
    pub fn take_answer(&mut self, epoch: Epoch, answer: DeltaAnswer) {
        if epoch != self.view_epoch || !self.is_primary() {
            return;
        }
        let Some((delta, covered_count)) = &self.pending else {
            return;
        };
        match answer {
            DeltaAnswer::Applied(sequence) if sequence == delta.to_sequence => {
                self.committed_count = *covered_count;
                self.pending = None;
            }
            DeltaAnswer::Applied(_) | DeltaAnswer::StaleEpoch(_) => {}
            DeltaAnswer::NeedsFull(incarnation) => {
                self.backup_incarnation = Some(incarnation);
                self.needs_full = true;
                self.pending = None;
            }
        }
    }

    /// Applies a delta as the backup.
    pub fn apply_delta(&mut self, delta: ReplicaDelta, now: Timestamp) -> DeltaAnswer {
        let known_epoch = self.view_epoch.max(self.state_epoch.unwrap_or(0));
        let is_rival = self.is_primary() && delta.epoch == self.view_epoch;
        if delta.epoch < known_epoch || is_rival {
            return DeltaAnswer::StaleEpoch(known_epoch);
        }
        let has_epoch = self.state_epoch == Some(delta.epoch);
        if has_epoch && delta.to_sequence <= self.sequence {
            return DeltaAnswer::Applied(self.sequence);
        }
        if delta.is_full {
            if delta.to_incarnation != Some(self.incarnation) {
                return DeltaAnswer::NeedsFull(self.incarnation);
            }
            self.clear();
        } else if !has_epoch || delta.from_sequence != self.sequence {
            return DeltaAnswer::NeedsFull(self.incarnation);
        }
        self.role = ReplicaRole::Backup;
        self.state_epoch = Some(delta.epoch);
        self.sequence = delta.to_sequence;
        self.owner.restore(delta.changes, now);
        if let Some(transfers) = delta.transfers {
            self.transfers = transfers;
        }
        DeltaAnswer::Applied(self.sequence)
    }

    fn count_transfers_change(&mut self) -> ChangeNumber {
        self.are_transfers_changed = true;
        self.transfers_change = self.change_count + 1;
        self.count_change()
    }

    fn count_change(&mut self) -> ChangeNumber {
        self.change_count += 1;
        self.commit_if_alone();
        self.change_count
    }

    fn commit_if_alone(&mut self) {
        if self.role == (ReplicaRole::Primary { backup_vm_id: None }) {
            self.committed_count = self.change_count;
            self.owner.forget_changes();
            self.are_transfers_changed = false;
        }
    }
}
