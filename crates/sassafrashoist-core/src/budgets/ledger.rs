//! The state of all budgets, built by applying the records of the ledger stream in order.
//!
//! Applying is deterministic, so every reader of the same records has the same state.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::record::{Draw, LEDGER_RECORD_VERSION, LedgerEvent, LedgerRecord, LedgerRecordError};
use super::shard::{ShardId, ShardLocation, shard_of};
use super::share::Share;
use super::view::View;
use crate::ids::{BudgetId, DataCentreId, Epoch, LogOffset, Tokens, TopUpId};

/// The state of one budget in the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLedger {
    /// The tokens paid for in all top-ups.
    pub paid_tokens: Tokens,
    /// The share of each data centre.
    pub shares: BTreeMap<DataCentreId, Share>,
    /// The top-ups applied, so that a repeated one has no effect.
    pub top_up_ids: BTreeSet<TopUpId>,
}

/// The active view of a shard in a data centre and the number of draws made under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveView {
    /// The view.
    pub view: View,
    /// The number of draws made under it.
    pub draw_count: u64,
}

/// A state change caused by a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerChange {
    /// The shares of a budget increased.
    ToppedUp(BudgetId),
    /// A view became active.
    ViewActivated(View),
    /// The primary of a view drew tokens.
    Drawn {
        /// The data centre and shard.
        location: ShardLocation,
        /// The epoch of the view.
        epoch: Epoch,
        /// The tokens drawn of each budget.
        drawn_tokens: BTreeMap<BudgetId, Tokens>,
    },
}

/// The state after all records before an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The offset of the next record to apply.
    pub next_offset: LogOffset,
    /// The budgets by id.
    pub budgets: BTreeMap<BudgetId, BudgetLedger>,
    /// The active views by data centre and shard.
    pub views: BTreeMap<DataCentreId, BTreeMap<ShardId, ActiveView>>,
}

impl Ledger {
    /// Applies one record and returns the changes that it makes.
    ///
    /// A record at an offset that was already applied changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the record's version is unknown or a top-up's parts do not add up; the ledger is
    /// then unchanged.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &LedgerRecord,
    ) -> Result<Vec<LedgerChange>, LedgerRecordError> {
        if offset < self.next_offset {
            return Ok(Vec::new());
        }
        if record.record_version != LEDGER_RECORD_VERSION {
            return Err(LedgerRecordError::UnknownVersion(record.record_version));
        }
        let change = self.apply_event(&record.event)?;
        self.next_offset = offset + 1;
        Ok(change.into_iter().collect())
    }

    /// Returns the active view of a shard in a data centre.
    pub fn view(&self, data_centre_id: &str, shard: ShardId) -> Option<&View> {
        Some(&self.views.get(data_centre_id)?.get(&shard)?.view)
    }

    /// Returns the share of a data centre in a budget.
    pub fn share(&self, data_centre_id: &str, budget_id: &str) -> Share {
        let share = self.budgets.get(budget_id).and_then(|b| b.shares.get(data_centre_id));
        share.copied().unwrap_or_default()
    }

    fn apply_event(
        &mut self,
        event: &LedgerEvent,
    ) -> Result<Option<LedgerChange>, LedgerRecordError> {
        match event {
            LedgerEvent::TopUp { top_up_id, budget_id, paid_tokens, split_tokens, .. } => {
                let split_sum = split_tokens.values().try_fold(0u64, |sum, t| sum.checked_add(*t));
                if split_sum != Some(*paid_tokens) {
                    return Err(LedgerRecordError::SplitMismatch(top_up_id.clone()));
                }
                let budget = self.budgets.entry(budget_id.clone()).or_default();
                if !budget.top_up_ids.insert(top_up_id.clone()) {
                    return Ok(None);
                }
                budget.paid_tokens = budget.paid_tokens.saturating_add(*paid_tokens);
                for (data_centre_id, tokens) in split_tokens {
                    let share = budget.shares.entry(data_centre_id.clone()).or_default();
                    share.granted_tokens += tokens;
                }
                Ok(Some(LedgerChange::ToppedUp(budget_id.clone())))
            }
            LedgerEvent::View(view) => Ok(self.apply_view(view)),
            LedgerEvent::Draw(draw) => Ok(self.apply_draw(draw)),
        }
    }

    /// Activates a view if its epoch is the next one, and if it is fresh or its primary is a member
    /// of the current view and so may have the shard's state.
    fn apply_view(&mut self, view: &View) -> Option<LedgerChange> {
        let location = &view.location;
        let current = self.view(&location.data_centre_id, location.shard);
        let next_epoch = current.map_or(1, |current| current.epoch + 1);
        let may_continue = current.is_some_and(|c| c.has_member(&view.primary_vm_id));
        if view.epoch != next_epoch || !(view.is_fresh || may_continue) {
            return None;
        }
        if view.is_fresh {
            self.record_lost_primary(location);
        }
        let active_view = ActiveView { view: view.clone(), draw_count: 0 };
        let shards = self.views.entry(location.data_centre_id.clone()).or_default();
        shards.insert(location.shard, active_view);
        Some(LedgerChange::ViewActivated(view.clone()))
    }

    fn record_lost_primary(&mut self, location: &ShardLocation) {
        for (budget_id, budget) in &mut self.budgets {
            if shard_of(budget_id) != location.shard {
                continue;
            }
            if let Some(share) = budget.shares.get_mut(&location.data_centre_id) {
                share.record_lost_primary();
            }
        }
    }

    fn apply_draw(&mut self, draw: &Draw) -> Option<LedgerChange> {
        let Draw { location, epoch, draw_number, .. } = draw;
        let active_view = self.views.get_mut(&location.data_centre_id)?.get_mut(&location.shard)?;
        if active_view.view.epoch != *epoch || active_view.draw_count + 1 != *draw_number {
            return None;
        }
        active_view.draw_count += 1;
        let mut drawn_tokens = BTreeMap::new();
        for (budget_id, tokens) in &draw.drawn_tokens {
            if let Some(share) = self.share_mut(location, budget_id) {
                drawn_tokens.insert(budget_id.clone(), share.draw(*tokens));
            }
        }
        for (budget_id, account) in &draw.checkpoint {
            if let Some(share) = self.share_mut(location, budget_id) {
                share.checkpoint = *account;
            }
        }
        Some(LedgerChange::Drawn { location: location.clone(), epoch: *epoch, drawn_tokens })
    }

    fn share_mut(&mut self, location: &ShardLocation, budget_id: &str) -> Option<&mut Share> {
        if shard_of(budget_id) != location.shard {
            return None;
        }
        let budget = self.budgets.get_mut(budget_id)?;
        Some(budget.shares.entry(location.data_centre_id.clone()).or_default())
    }
}
