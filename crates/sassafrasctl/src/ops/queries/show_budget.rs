//! Shows where the tokens of a budget are.

use std::collections::BTreeMap;

use eyre::{Result, eyre};
use serde::{Deserialize, Serialize};

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_ledger::read_ledger;
use crate::ops::queries::read_vm_state::read_admin_page;
use sassafrashoist_core::budgets::escrow_account::EscrowAccount;
use sassafrashoist_core::budgets::ledger::BudgetLedger;
use sassafrashoist_core::budgets::share::Share;
use sassafrashoist_core::ids::{BudgetId, DataCentreId, LogOffset, Tokens, VmId};

/// Where the tokens of a budget are, from the ledger and the states of the VMs.
#[derive(Debug, Clone, Serialize)]
pub struct BudgetReport {
    /// The budget's id.
    pub budget_id: BudgetId,
    /// The offset of the first ledger record that was not read.
    pub ledger_next_offset: LogOffset,
    /// The tokens paid for.
    pub paid_tokens: Tokens,
    /// The tokens used by settled requests.
    pub settled_tokens: Tokens,
    /// The tokens reserved by requests in progress.
    pub reserved_tokens: Tokens,
    /// The tokens held in each data centre.
    pub held_tokens: BTreeMap<DataCentreId, Tokens>,
    /// The tokens of each data centre's share that its primary has not received yet.
    pub undrawn_tokens: BTreeMap<DataCentreId, Tokens>,
    /// The tokens sent by one data centre and not yet received by another; negative when the
    /// sender's state was read before it sent them, or a VM lost its state after it received them.
    pub in_transfer_tokens: i128,
    /// The tokens that primaries whose state was lost may have left unspent.
    pub stranded_tokens: Tokens,
    /// The paid tokens that are in none of the other figures, such as those of VMs that did not
    /// respond.
    pub unaccounted_tokens: Tokens,
    /// The VMs whose state could not be read.
    #[serde(rename = "silent_vm_ids")]
    pub unresponsive_vm_ids: Vec<VmId>,
}

/// The part of a VM's state dump that a budget report is built from.
#[derive(Debug, Deserialize)]
struct OwnerState {
    data_centre_id: DataCentreId,
    accounts: BTreeMap<BudgetId, EscrowAccount>,
}

/// Builds a report from the ledger and the state of every VM in the settings.
///
/// # Errors
///
/// Fails when the ledger cannot be read or has no record of the budget.
pub async fn show_budget(context: &CtlContext, budget_id: &str) -> Result<BudgetReport> {
    let ledger = read_ledger(context).await?;
    let budget = ledger
        .budgets
        .get(budget_id)
        .ok_or_else(|| eyre!("budget {budget_id:?} was never topped up"))?;
    let mut report = BudgetReport {
        budget_id: budget_id.to_owned(),
        ledger_next_offset: ledger.next_offset,
        paid_tokens: budget.paid_tokens,
        settled_tokens: 0,
        reserved_tokens: 0,
        held_tokens: BTreeMap::new(),
        undrawn_tokens: BTreeMap::new(),
        in_transfer_tokens: 0,
        stranded_tokens: 0,
        unaccounted_tokens: 0,
        unresponsive_vm_ids: Vec::new(),
    };
    add_shares(&mut report, budget);
    for vm_id in context.settings.vm_admin_addresses.keys() {
        match read_admin_page::<OwnerState>(context, vm_id, "/state").await {
            Ok(state) => add_owner_account(&mut report, budget, &state),
            Err(_) => report.unresponsive_vm_ids.push(vm_id.clone()),
        }
    }
    let held_tokens: Tokens = report.held_tokens.values().sum();
    let undrawn_tokens: Tokens = report.undrawn_tokens.values().sum();
    let claimed_tokens = report.settled_tokens + report.reserved_tokens;
    let free_tokens = held_tokens + undrawn_tokens + report.stranded_tokens;
    let accounted_tokens = i128::from(claimed_tokens + free_tokens) + report.in_transfer_tokens;
    let unaccounted_tokens = i128::from(report.paid_tokens) - accounted_tokens;
    report.unaccounted_tokens = Tokens::try_from(unaccounted_tokens).unwrap_or(0);
    Ok(report)
}

/// Adds the shares in the ledger; [`add_owner_account`] adds the accounts of their primaries.
fn add_shares(report: &mut BudgetReport, budget: &BudgetLedger) {
    for (data_centre_id, share) in &budget.shares {
        report.undrawn_tokens.insert(data_centre_id.clone(), share.undrawn_tokens());
        report.stranded_tokens += share.stranded_tokens();
        report.settled_tokens += share.lost_reported.settled_tokens;
        report.in_transfer_tokens += i128::from(share.lost_reported.sent_tokens);
        report.in_transfer_tokens -= i128::from(share.lost_reported.received_tokens);
    }
}

fn add_owner_account(report: &mut BudgetReport, budget: &BudgetLedger, state: &OwnerState) {
    let Some(account) = state.accounts.get(&report.budget_id) else {
        return;
    };
    let undrawn_tokens = report.undrawn_tokens.entry(state.data_centre_id.clone()).or_default();
    // Tokens drawn in the ledger that the primary has not applied yet count as undrawn.
    let live_drawn_tokens =
        budget.shares.get(&state.data_centre_id).map_or(0, Share::live_drawn_tokens);
    *undrawn_tokens += live_drawn_tokens.saturating_sub(account.drawn_tokens);
    report.in_transfer_tokens += i128::from(account.sent_tokens);
    report.in_transfer_tokens -= i128::from(account.received_tokens);
    report.settled_tokens += account.settled_tokens;
    report.reserved_tokens += account.reserved_tokens;
    *report.held_tokens.entry(state.data_centre_id.clone()).or_default() += account.held_tokens;
}

/// Formats the report as text.
pub fn format_budget(report: &BudgetReport) -> String {
    let mut text = format!(
        "budget {}  (ledger read up to offset {})\n  paid         {:>12}\n  settled      {:>12}\n  reserved     {:>12}\n",
        report.budget_id,
        report.ledger_next_offset,
        report.paid_tokens,
        report.settled_tokens,
        report.reserved_tokens
    );
    for (data_centre_id, tokens) in &report.held_tokens {
        text.push_str(&format!("  held         {tokens:>12}  in {data_centre_id}\n"));
    }
    for (data_centre_id, tokens) in &report.undrawn_tokens {
        text.push_str(&format!("  undrawn      {tokens:>12}  in {data_centre_id}\n"));
    }
    text.push_str(&format!("  in transfer  {:>12}\n", report.in_transfer_tokens));
    text.push_str(&format!("  stranded     {:>12}\n", report.stranded_tokens));
    text.push_str(&format!("  unaccounted  {:>12}\n", report.unaccounted_tokens));
    for vm_id in &report.unresponsive_vm_ids {
        text.push_str(&format!("  VM {vm_id} did not answer\n"));
    }
    text
}
