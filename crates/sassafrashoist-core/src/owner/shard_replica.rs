//! One VM's replica of a shard: its role, its state and how much of it the backup has confirmed.
//!
//! Replication is primary-backup, and a view's epoch is the fencing token. A view in the ledger
//! names the primary and the backup of a shard. The primary sends each change to the backup and
//! returns its result only when [`ShardReplica::commit_state`] reports it as committed. The backup
//! rejects deltas of an older epoch, so a primary that was paused while its backup took over cannot
//! commit any change: the backup fences it, without relying on a clock. A primary whose view has no
//! backup commits alone, because only that primary can continue such a view.
//!
//! Neither VM may spend alone while it can reach neither the other nor the log. Tokens set aside
//! for that case could have been spent by a VM that then crashed, so each crash of a primary would
//! strand them. Requests go to another data centre instead.
//!
//! Draws are credited by totals: the ledger has the total drawn by this primary and by the earlier
//! primaries whose state it continues, the account has the total that was credited to it, and the
//! difference is credited. So neither a takeover nor a repeated record credits a draw twice.

use std::collections::BTreeMap;
use std::time::Duration;

use super::budget_owner::BudgetOwner;
use super::replica_delta::{DeltaResponse, ReplicaDelta, Sequence};
use super::transfer::{Transfer, TransferRequest, TransferTable};
use crate::budgets::ledger::Ledger;
use crate::budgets::policy::BudgetPolicy;
use crate::budgets::record::{Draw, LedgerEvent, LedgerRecord};
use crate::budgets::shard::{ShardLocation, shard_of};
use crate::budgets::view::View;
use crate::ids::{BudgetId, Epoch, Incarnation, RouteId, Timestamp, Tokens, VmId};
use crate::owner::draw_policy::choose_draw;
use crate::requests::key_table::KeyTableLimits;

/// The epoch of a shard's first view; no entries can have been lost before it.
const FIRST_EPOCH: Epoch = 1;

/// The number of a change of a replica's state; it increases with each change.
pub type ChangeNumber = u64;

/// The role of a replica in the newest view that it has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaRole {
    /// The view does not name it, or it lacks the state that the view assumes.
    None,
    /// It keeps a copy of the primary's state.
    Backup,
    /// It makes the decisions; without a backup it commits alone.
    Primary {
        /// The VM that must confirm each change.
        backup_vm_id: Option<VmId>,
    },
}

/// One VM's replica of a shard.
#[derive(Debug)]
pub struct ShardReplica {
    location: ShardLocation,
    vm_id: VmId,
    incarnation: Incarnation,
    role: ReplicaRole,
    view_epoch: Epoch,
    state_epoch: Option<Epoch>,
    owner: BudgetOwner,
    transfers: TransferTable,
    are_transfers_changed: bool,
    sequence: Sequence,
    pending_delta: Option<(ReplicaDelta, ChangeNumber)>,
    needs_full_delta: bool,
    backup_incarnation: Option<Incarnation>,
    change_count: ChangeNumber,
    committed_change: ChangeNumber,
    lost_before: ChangeNumber,
    last_transfers_change: ChangeNumber,
    shortfall_tokens: BTreeMap<BudgetId, Tokens>,
    retry_windows: BTreeMap<RouteId, Duration>,
}

/// The commit state of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitState {
    /// The backup has confirmed it, or the view has no backup.
    Committed,
    /// The backup has not confirmed it yet.
    Waiting,
    /// This replica is no longer the primary, or discarded the state that contained the change.
    Lost,
}

impl ShardReplica {
    /// Creates the replica of a new process, without state or role.
    pub fn new(location: ShardLocation, vm_id: VmId, incarnation: Incarnation) -> Self {
        Self {
            location,
            vm_id,
            incarnation,
            role: ReplicaRole::None,
            view_epoch: 0,
            state_epoch: None,
            owner: BudgetOwner::new(KeyTableLimits::default()),
            transfers: TransferTable::default(),
            are_transfers_changed: false,
            sequence: 0,
            pending_delta: None,
            needs_full_delta: false,
            backup_incarnation: None,
            change_count: 0,
            committed_change: 0,
            lost_before: 0,
            last_transfers_change: 0,
            shortfall_tokens: BTreeMap::new(),
            retry_windows: BTreeMap::new(),
        }
    }

    /// Sets how long closed entries of each route are kept.
    pub fn set_retry_windows(&mut self, retry_windows: BTreeMap<RouteId, Duration>) {
        self.owner.set_retry_windows(retry_windows.clone());
        self.retry_windows = retry_windows;
    }

    /// Returns the role of the replica.
    pub fn role(&self) -> &ReplicaRole {
        &self.role
    }

    /// Returns whether the replica is the primary.
    pub fn is_primary(&self) -> bool {
        matches!(self.role, ReplicaRole::Primary { .. })
    }

    /// Returns whether the replica has the state of the newest view that it has seen.
    pub fn has_state(&self) -> bool {
        self.view_epoch > 0 && self.state_epoch >= Some(self.view_epoch)
    }

    /// Returns the epoch of the newest view that the replica has entered; 0 before the first.
    pub fn view_epoch(&self) -> Epoch {
        self.view_epoch
    }

    /// Returns the epoch whose state the replica has.
    pub fn state_epoch(&self) -> Option<Epoch> {
        self.state_epoch
    }

    /// Returns the accounts and key entries.
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

    /// Returns the commit state of a change; its result may be returned once it is committed.
    pub fn commit_state(&self, change: ChangeNumber) -> CommitState {
        if !self.is_primary() || change < self.lost_before {
            return CommitState::Lost;
        }
        if self.committed_change >= change {
            return CommitState::Committed;
        }
        CommitState::Waiting
    }

    /// Returns the VM that must confirm each change, if this replica is a primary with a backup.
    pub fn backup_vm_id(&self) -> Option<&VmId> {
        match &self.role {
            ReplicaRole::Primary { backup_vm_id } => backup_vm_id.as_ref(),
            _ => None,
        }
    }

    /// Changes accounts and key entries as the primary, and returns the result and the number of
    /// the newest change, which must be committed before the result is returned.
    ///
    /// Returns `None` when this replica is not the primary.
    pub fn change<T>(
        &mut self,
        apply: impl FnOnce(&mut BudgetOwner) -> T,
    ) -> Option<(T, ChangeNumber)> {
        if !self.is_primary() {
            return None;
        }
        let result = apply(&mut self.owner);
        if self.owner.is_changed() {
            self.count_change();
        }
        Some((result, self.change_count))
    }

    /// Opens a transfer of held tokens to another data centre; `None` when none can be sent.
    ///
    /// The transfer may be sent once its change is committed.
    pub fn send_tokens(&mut self, request: TransferRequest) -> Option<ChangeNumber> {
        if !self.is_primary() {
            return None;
        }
        let held_tokens = self.owner.account(&request.budget_id).held_tokens;
        let urgent_tokens = if request.is_urgent { held_tokens / 2 } else { 0 };
        let tokens = request.requested_tokens.max(urgent_tokens).min(held_tokens);
        if tokens == 0 || !self.owner.try_send(&request.budget_id, tokens) {
            return None;
        }
        self.transfers.open(self.location.clone(), request, tokens);
        Some(self.count_transfers_change())
    }

    /// Credits a transfer once; `None` when this replica is not the primary.
    ///
    /// The transfer may be acknowledged once the change is committed.
    pub fn receive_transfer(&mut self, transfer: &Transfer) -> Option<ChangeNumber> {
        if !self.is_primary() {
            return None;
        }
        if self.transfers.record_received(transfer) {
            self.owner.receive(&transfer.budget_id, transfer.tokens);
        }
        Some(self.count_transfers_change())
    }

    /// Returns the open transfers if all of their changes are committed, and none otherwise.
    pub fn transfers_to_send(&self) -> Vec<Transfer> {
        if self.commit_state(self.last_transfers_change) != CommitState::Committed {
            return Vec::new();
        }
        self.transfers.open_transfers()
    }

    /// Removes a transfer that its receiver has acknowledged.
    pub fn acknowledge(&mut self, transfer: &Transfer) {
        if self.is_primary() && self.transfers.acknowledge(transfer) {
            self.count_transfers_change();
        }
    }

    /// Enters an active view and takes the role that it assigns to this VM.
    pub fn enter_view(&mut self, view: &View) {
        if view.location != self.location || view.epoch <= self.view_epoch {
            return;
        }
        self.view_epoch = view.epoch;
        self.pending_delta = None;
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
                self.owner.mark_entries_lost();
            }
            self.transfers = TransferTable::new(view.epoch);
        } else if self.state_epoch != Some(view.epoch - 1) {
            self.clear();
            return;
        }
        self.state_epoch = Some(view.epoch);
        self.role = ReplicaRole::Primary { backup_vm_id: view.backup_vm_id.clone() };
        self.needs_full_delta = true;
        self.backup_incarnation = None;
        self.count_transfers_change();
    }

    fn clear(&mut self) {
        self.role = ReplicaRole::None;
        self.state_epoch = None;
        self.owner = BudgetOwner::new(KeyTableLimits::default());
        self.owner.set_retry_windows(self.retry_windows.clone());
        self.transfers = TransferTable::default();
        self.pending_delta = None;
        self.change_count += 1;
        self.lost_before = self.change_count;
        self.last_transfers_change = self.change_count;
        self.committed_change = self.change_count;
    }

    /// Credits the tokens of a budget that were drawn for this shard according to the ledger.
    pub fn credit_draws(&mut self, ledger: &Ledger, budget_id: &str) {
        if !self.is_primary() || shard_of(budget_id) != self.location.shard {
            return;
        }
        let share = ledger.share(&self.location.data_centre_id, budget_id);
        self.shortfall_tokens.remove(budget_id);
        self.owner.credit_draws(budget_id, share.live_drawn_tokens());
        if self.owner.is_changed() {
            self.count_change();
        }
    }

    /// Credits the tokens of all budgets that were drawn for this shard according to the ledger.
    pub fn credit_all_draws(&mut self, ledger: &Ledger) {
        for budget_id in ledger.budgets.keys() {
            self.credit_draws(ledger, budget_id);
        }
    }

    /// Records how many tokens a request lacks; the next draw covers the largest such number.
    pub fn record_shortfall(&mut self, budget_id: &str, tokens: Tokens) {
        let shortfall_tokens = self.shortfall_tokens.entry(budget_id.to_owned()).or_default();
        *shortfall_tokens = tokens.max(*shortfall_tokens);
    }

    /// Returns the record with which the primary draws tokens for budgets that run short.
    pub fn propose_draw(&self, ledger: &Ledger, policy: BudgetPolicy) -> Option<LedgerRecord> {
        let budget_ids = ledger.budgets.keys().filter(|id| shard_of(id) == self.location.shard);
        let drawn_tokens: BTreeMap<BudgetId, Tokens> = budget_ids
            .filter_map(|budget_id| {
                let share = ledger.share(&self.location.data_centre_id, budget_id);
                let held_tokens = self.owner.account(budget_id).held_tokens;
                let shortfall_tokens = self.shortfall_tokens.get(budget_id).copied().unwrap_or(0);
                let tokens = choose_draw(policy, &share, held_tokens, shortfall_tokens);
                (tokens > 0).then(|| (budget_id.clone(), tokens))
            })
            .collect();
        if drawn_tokens.is_empty() {
            return None;
        }
        let budget_ids: Vec<BudgetId> = drawn_tokens.keys().cloned().collect();
        self.build_draw(ledger, drawn_tokens, budget_ids)
    }

    /// Returns the record with which the primary reports accounts without drawing tokens.
    pub fn propose_checkpoint(
        &self,
        ledger: &Ledger,
        budget_ids: &[BudgetId],
    ) -> Option<LedgerRecord> {
        let own_ids = budget_ids.iter().filter(|id| shard_of(id) == self.location.shard);
        let is_unreported = |id: &&BudgetId| {
            let share = ledger.share(&self.location.data_centre_id, id);
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
        reported_budget_ids: Vec<BudgetId>,
    ) -> Option<LedgerRecord> {
        let shards = ledger.views.get(&self.location.data_centre_id)?;
        let active_view = shards.get(&self.location.shard)?;
        if !self.is_primary() || active_view.view.epoch != self.view_epoch {
            return None;
        }
        let accounts = reported_budget_ids.into_iter().map(|id| {
            let account = self.owner.account(&id);
            (id, account)
        });
        let checkpoint = accounts.collect();
        Some(LedgerRecord::new(LedgerEvent::Draw(Draw {
            location: self.location.clone(),
            epoch: self.view_epoch,
            draw_number: active_view.draw_count + 1,
            drawn_tokens,
            checkpoint,
        })))
    }

    /// Returns the delta to send to the backup; the same one until the backup responds to it.
    ///
    /// Returns `None` when there is nothing to send or no backup.
    pub fn next_delta(&mut self) -> Option<ReplicaDelta> {
        let ReplicaRole::Primary { backup_vm_id: Some(_) } = &self.role else {
            return None;
        };
        if let Some((delta, _)) = &self.pending_delta {
            return Some(delta.clone());
        }
        let is_up_to_date = self.committed_change == self.change_count && !self.needs_full_delta;
        if is_up_to_date {
            return None;
        }
        let is_full = self.needs_full_delta;
        let transfers = (is_full || self.are_transfers_changed).then(|| self.transfers.clone());
        let delta = ReplicaDelta {
            location: self.location.clone(),
            epoch: self.view_epoch,
            to_incarnation: self.backup_incarnation,
            from_sequence: self.sequence,
            to_sequence: self.sequence + 1,
            is_full,
            changes: self.owner.take_changes(is_full),
            transfers,
        };
        self.sequence += 1;
        self.needs_full_delta = false;
        self.are_transfers_changed = false;
        self.pending_delta = Some((delta.clone(), self.change_count));
        Some(delta)
    }

    /// Applies the backup's response to the pending delta.
    pub fn apply_backup_response(&mut self, epoch: Epoch, response: DeltaResponse) {
        if epoch != self.view_epoch || !self.is_primary() {
            return;
        }
        let Some((delta, covered_change)) = &self.pending_delta else {
            return;
        };
        match response {
            DeltaResponse::Applied(sequence) if sequence == delta.to_sequence => {
                self.committed_change = *covered_change;
                self.pending_delta = None;
            }
            DeltaResponse::Applied(_) | DeltaResponse::StaleEpoch(_) => {}
            DeltaResponse::NeedsFull(incarnation) => {
                self.backup_incarnation = Some(incarnation);
                self.needs_full_delta = true;
                self.pending_delta = None;
            }
        }
    }

    /// Applies a delta as the backup.
    pub fn apply_delta(&mut self, delta: ReplicaDelta, now: Timestamp) -> DeltaResponse {
        let newest_epoch = self.view_epoch.max(self.state_epoch.unwrap_or(0));
        let is_primary_of_epoch = self.is_primary() && delta.epoch == self.view_epoch;
        if delta.epoch < newest_epoch || is_primary_of_epoch {
            return DeltaResponse::StaleEpoch(newest_epoch);
        }
        let has_epoch = self.state_epoch == Some(delta.epoch);
        if has_epoch && delta.to_sequence <= self.sequence {
            return DeltaResponse::Applied(self.sequence);
        }
        if delta.is_full {
            if delta.to_incarnation != Some(self.incarnation) {
                return DeltaResponse::NeedsFull(self.incarnation);
            }
            self.clear();
        } else if !has_epoch || delta.from_sequence != self.sequence {
            return DeltaResponse::NeedsFull(self.incarnation);
        }
        self.role = ReplicaRole::Backup;
        self.state_epoch = Some(delta.epoch);
        self.sequence = delta.to_sequence;
        self.owner.apply_changes(delta.changes, now);
        if let Some(transfers) = delta.transfers {
            self.transfers = transfers;
        }
        DeltaResponse::Applied(self.sequence)
    }

    fn count_transfers_change(&mut self) -> ChangeNumber {
        self.are_transfers_changed = true;
        self.last_transfers_change = self.change_count + 1;
        self.count_change()
    }

    fn count_change(&mut self) -> ChangeNumber {
        self.change_count += 1;
        self.commit_without_backup();
        self.change_count
    }

    fn commit_without_backup(&mut self) {
        if self.role == (ReplicaRole::Primary { backup_vm_id: None }) {
            self.committed_change = self.change_count;
            self.owner.forget_changes();
            self.are_transfers_changed = false;
        }
    }
}
