//! Prepaid budgets: which VMs may spend which tokens, by escrow.
//!
//! Each token has one owner at a time; it moves between owners and is never copied. A top-up record
//! in the log splits its tokens among data centres. In a data centre each budget belongs to a
//! shard, whose view names a primary and a backup VM. The primary appends a record to draw tokens
//! from its data centre's share, and spends only tokens that it drew or received from another data
//! centre. Records of an earlier epoch have no effect.

pub mod escrow_account;
pub mod ledger;
pub mod policy;
pub mod record;
pub mod shard;
pub mod share;
pub mod split;
pub mod view;
