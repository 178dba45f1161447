//! Decisions of the router fleet as pure state machines.
//!
//! Nothing here does I/O, reads a clock or draws global random numbers: each decision takes an
//! event and the time, and returns a typed outcome with its [`result_code::ResultCode`]. So every
//! decision can be driven step by step from a test.
//!
//! - [`gateway`]: the decisions of a VM that follows a log service and keeps nothing.
//! - [`budgets`]: who may spend which tokens of a prepaid budget.
//! - [`requests`]: what became of a request, by its idempotency key.
//! - [`owner`]: the owner of a budget in a data centre, which keeps a key and its reservation as
//!   one entry.
//! - [`routing`]: which backend server runs an attempt.
//! - [`membership`]: which VMs of the system are members.
//! - [`event_splitter`]: whole events of a stream, so that a broken one is never passed on.
//! - [`invariants`]: the counters that must stay 0.

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
