//! The operator's settings and context.

pub mod ctl_context;
pub mod ctl_settings;
pub mod fleet_vm_state;
