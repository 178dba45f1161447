//! Tests of the decisions.

#![allow(clippy::unwrap_used, missing_docs)]

mod budget_owner;
mod ledger;
mod membership;
mod result_codes;
mod split;
