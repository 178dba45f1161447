//! A fleet of routers and stand-ins in this process.

pub mod audit;
pub mod fleet_bundle;
pub mod fleet_plan;
pub mod fleet_vm;
pub mod operators;
pub mod running_fleet;
