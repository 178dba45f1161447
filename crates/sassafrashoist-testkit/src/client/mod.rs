//! A caller of the fleet.

pub mod caller;
