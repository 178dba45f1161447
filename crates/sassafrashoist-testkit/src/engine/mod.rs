//! The stand-in for a model engine.
//!
//! A request waits for a slot by priority, pays for the part of its prompt that no cached prefix
//! covers, and then makes a token each step. The tokens follow from the prompt alone
//! ([`answer_tokens`]), so a caller can check that an answer is whole and its own.

pub mod answer_tokens;
pub mod cache_events;
pub mod engine_settings;
pub mod engine_stand_in;
pub mod engine_state;
pub mod prefix_cache;
mod resume;
pub mod sequence;
pub mod slot_queue;
