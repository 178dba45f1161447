//! The decision logic of the router fleet, as pure state machines.
//!
//! Nothing here does I/O, reads a clock or draws global random numbers: each decision takes an
//! event and the time as arguments and returns a typed outcome with its
//! [`result_code::ResultCode`]. Tests can therefore drive every decision step by step.
//!
//! - [`gateway`]: the decisions of a VM that reads all shared state from a log service and stores
//!   nothing itself.
//! - [`budgets`]: which VMs may spend which tokens of a prepaid budget, by escrow.
//! - [`requests`]: the state and outcome of each request, by its idempotency key.
//! - [`owner`]: the owner of a budget in a data centre, which stores a key and its reservation as
//!   one entry and is replicated to a backup VM.
//! - [`routing`]: which backend server runs an attempt.
//! - [`membership`]: which VMs are members of the fleet, by gossip.
//! - [`event_splitter`]: splits a stream into complete events, so that a partial one is never
//!   forwarded.
//! - [`invariants`]: counters of invariant violations, which must stay 0.
//! - [`decision_log`]: the newest decisions of a process, with their reasons.
//! - [`rendezvous`]: rendezvous hashing, which assigns keys to VMs.

pub mod budgets;
pub mod decision_log;
pub mod event_splitter;
pub mod gateway;
pub mod ids;
pub mod invariants;
pub mod membership;
pub mod owner;
pub mod rendezvous;
pub mod requests;
pub mod result_code;
pub mod routing;
