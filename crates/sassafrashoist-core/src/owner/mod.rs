//! The owner of a budget in one data centre, which has the budget's escrow account and the
//! idempotency keys of its requests.
//!
//! A key and its reservation are one entry, so a request cannot hold one without the other. Each
//! budget has one owner per data centre. The VM that received a request sends the owner `admit`
//! before it dispatches the request to a backend server, and `settle` when the cost is known.
//!
//! The state of an owner is replicated from a primary VM to a backup VM ([`shard_replica`]). Owners
//! of different data centres transfer tokens to each other ([`transfer`]).

pub mod admit;
pub mod budget_owner;
pub mod draw_policy;
pub mod owner_changes;
pub mod propose_view;
pub mod rebalance;
pub mod recent_use;
pub mod replica_delta;
pub mod settle;
pub mod shard_replica;
pub mod shard_table;
pub mod transfer;
