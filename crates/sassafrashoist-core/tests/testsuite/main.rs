//! Tests of the decisions.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_queue;
mod budget_owner;
mod ledger;
mod prefix_index;
mod result_codes;
mod routing_table;
mod split;
