//! The stand-in for a plain service.

pub mod service_stand_in;
