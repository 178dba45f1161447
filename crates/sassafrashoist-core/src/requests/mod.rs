//! The life cycle of a request: its idempotency key, its attempts, retries and outcome, and the
//! quarantine of requests that crash backend servers. Retries are limited by token buckets
//! ([`retry_budget`]) and delayed by exponential backoff with jitter ([`backoff`]).

pub mod backoff;
pub mod crashing_parts;
pub mod key_entry;
pub mod key_table;
pub mod life_cycle;
pub mod quarantine;
pub mod recovery;
pub mod request_hash;
pub mod retry_budget;
pub mod sightings;
