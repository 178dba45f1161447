//! `sassafrasctl budget`.

use std::collections::BTreeMap;

use clap::Subcommand;
use eyre::{Result, WrapErr, eyre};
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::ops::commands::top_up_budget::{RecordedTopUp, TopUp, top_up_budget};
use sassafrasctl::ops::queries::show_budget::{format_budget, show_budget};

/// Shows and tops up budgets.
#[derive(Debug, Subcommand)]
pub enum Budget {
    /// Shows where the tokens of a budget are.
    Show {
        /// The budget's id.
        budget_id: String,
    },
    /// Records a payment for tokens.
    TopUp {
        /// The budget's id.
        budget_id: String,
        /// The number of tokens paid for.
        tokens: u64,
        /// The top-up's id; a retry with the same id is counted once.
        #[arg(long)]
        id: String,
        /// The weight of a data centre in the split of the tokens; may be repeated. Without any
        /// weight, the split is even.
        #[arg(long = "weight", value_name = "DATA_CENTRE=WEIGHT")]
        weights: Vec<String>,
    },
}

impl Budget {
    /// Runs the command.
    pub async fn exec(self, context: &CtlContext) -> Result<()> {
        match self {
            Budget::Show { budget_id } => {
                let report = show_budget(context, &budget_id).await?;
                context.shell.print(&report, format_budget)
            }
            Budget::TopUp { budget_id, tokens, id, weights } => {
                let weights = parse_weights(&weights)?;
                let top_up = TopUp { top_up_id: id, budget_id, paid_tokens: tokens, weights };
                let recorded = top_up_budget(context, top_up).await?;
                context.shell.print(&recorded, format_top_up)
            }
        }
    }
}

fn parse_weights(texts: &[String]) -> Result<BTreeMap<String, u64>> {
    let mut weights = BTreeMap::new();
    for text in texts {
        let (data_centre_id, weight) = text
            .split_once('=')
            .ok_or_else(|| eyre!("weight {text:?}: expected DATA_CENTRE=WEIGHT"))?;
        let weight =
            weight.parse().wrap_err_with(|| format!("weight {text:?}: expected a whole number"))?;
        weights.insert(data_centre_id.to_owned(), weight);
    }
    Ok(weights)
}

fn format_top_up(recorded: &RecordedTopUp) -> String {
    let mut text = format!("top-up {} is at offset {}\n", recorded.top_up_id, recorded.offset);
    for (data_centre_id, tokens) in &recorded.split_tokens {
        text.push_str(&format!("  {tokens:>12}  to {data_centre_id}\n"));
    }
    text
}
