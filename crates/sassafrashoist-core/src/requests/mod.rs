//! The life of a request: its key, its attempts and what became of it.

pub mod backoff;
pub mod key_entry;
pub mod key_table;
pub mod life_cycle;
pub mod recovery;
pub mod request_hash;
pub mod retry_budget;
pub mod sightings;
