//! Prepaid budgets: who may spend which tokens.
//!
//! Ownership moves and is never copied. A top-up record in the log splits its tokens among data
//! centres; each data centre's owner of the budget spends only what it owns.

pub mod escrow_account;
pub mod ledger;
pub mod record;
pub mod split;
