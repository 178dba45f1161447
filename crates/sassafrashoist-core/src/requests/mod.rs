//! The life of a request: its key, its attempts and what became of it.

pub mod key_entry;
pub mod key_table;
pub mod life_cycle;
pub mod request_hash;
