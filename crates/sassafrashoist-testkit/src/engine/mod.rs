//! The stand-in for a model engine.
//!
//! A request waits for a slot by priority, spends prefill time on the prompt tokens that are not in
//! a cached prefix, and then generates one token each step. The tokens depend on the prompt alone
//! ([`response_tokens`]), so a caller can check that a response is complete and its own.

pub mod cache_events;
pub mod engine_settings;
pub mod engine_stand_in;
pub mod engine_state;
pub mod prefix_cache;
pub mod response_tokens;
mod resume;
pub mod sequence;
pub mod slot_queue;
