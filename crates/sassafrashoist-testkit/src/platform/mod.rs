//! The stand-in for the platform: log service, VM list and model weight store.

pub mod log_streams;
pub mod platform_faults;
pub mod platform_stand_in;
