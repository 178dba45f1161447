//! The deterministic fold of the ledger stream.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::record::{Draw, LEDGER_RECORD_VERSION, LedgerEvent, LedgerRecord, LedgerRecordError};
use super::shard::{ShardId, ShardPlace, shard_of};
use super::share::Share;
use super::view::View;
use crate::ids::{BudgetId, DataCentreId, Epoch, LogOffset, Tokens, TopUpId};

/// What the log says of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLedger {
    /// The tokens paid in all top-ups.
    pub paid_tokens: Tokens,
    /// The share of each data centre.
    pub shares: BTreeMap<DataCentreId, Share>,
    /// The top-ups counted.
    pub top_up_ids: BTreeSet<TopUpId>,
}

/// The view in force at a place and the draws made under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewInForce {
    /// The view.
    pub view: View,
    /// The draws made under it.
    pub draw_count: u64,
}

/// A change that the fold made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerChange {
    /// The shares of a budget grew.
    ToppedUp(BudgetId),
    /// A view came into force.
    ViewInForce(View),
    /// The primary of a view got tokens.
    Drawn {
        /// The data centre and shard.
        place: ShardPlace,
        /// The epoch.
        epoch: Epoch,
        /// The tokens that it got.
        drawn_tokens: BTreeMap<BudgetId, Tokens>,
    },
}

/// The fold of all records up to an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The offset of the next record to fold.
    pub next_offset: LogOffset,
    /// The budgets by id.
    pub budgets: BTreeMap<BudgetId, BudgetLedger>,
    /// The views in force.
    pub views: BTreeMap<DataCentreId, BTreeMap<ShardId, ViewInForce>>,
}

impl Ledger {
    /// Folds one record and returns the changes that it makes.
    ///
    /// A record at an offset already folded changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the record's version is unknown or a top-up's parts do not add up; the fold then
    /// stays as it was.
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

    /// Returns the view in force at a place.
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
                    return Err(LedgerRecordError::UnevenSplit(top_up_id.clone()));
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

    /// Puts a view in force when its epoch is next and its primary may hold the state it claims.
    fn apply_view(&mut self, view: &View) -> Option<LedgerChange> {
        let place = &view.place;
        let current = self.view(&place.data_centre_id, place.shard);
        let next_epoch = current.map_or(1, |current| current.epoch + 1);
        let may_continue = current.is_some_and(|c| c.has_member(&view.primary_vm_id));
        if view.epoch != next_epoch || !(view.is_fresh || may_continue) {
            return None;
        }
        if view.is_fresh {
            self.lose_primary(place);
        }
        let in_force = ViewInForce { view: view.clone(), draw_count: 0 };
        let shards = self.views.entry(place.data_centre_id.clone()).or_default();
        shards.insert(place.shard, in_force);
        Some(LedgerChange::ViewInForce(view.clone()))
    }

    fn lose_primary(&mut self, place: &ShardPlace) {
        for (budget_id, budget) in &mut self.budgets {
            if shard_of(budget_id) != place.shard {
                continue;
            }
            if let Some(share) = budget.shares.get_mut(&place.data_centre_id) {
                share.lose_primary();
            }
        }
    }

    fn apply_draw(&mut self, draw: &Draw) -> Option<LedgerChange> {
        let Draw { place, epoch, draw_number, .. } = draw;
        let in_force = self.views.get_mut(&place.data_centre_id)?.get_mut(&place.shard)?;
        if in_force.view.epoch != *epoch || in_force.draw_count + 1 != *draw_number {
            return None;
        }
        in_force.draw_count += 1;
        let mut drawn_tokens = BTreeMap::new();
        for (budget_id, tokens) in &draw.drawn_tokens {
            if let Some(share) = self.share_mut(place, budget_id) {
                drawn_tokens.insert(budget_id.clone(), share.draw(*tokens));
            }
        }
        for (budget_id, account) in &draw.checkpoint {
            if let Some(share) = self.share_mut(place, budget_id) {
                share.checkpoint = *account;
            }
        }
        Some(LedgerChange::Drawn { place: place.clone(), epoch: *epoch, drawn_tokens })
    }

    fn share_mut(&mut self, place: &ShardPlace, budget_id: &str) -> Option<&mut Share> {
        if shard_of(budget_id) != place.shard {
            return None;
        }
        let budget = self.budgets.get_mut(budget_id)?;
        Some(budget.shares.entry(place.data_centre_id.clone()).or_default())
    }
}
