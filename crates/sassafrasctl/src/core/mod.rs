//! The operator's settings, the context of a command and the VM state that it reads.

pub mod ctl_context;
pub mod ctl_settings;
pub mod fleet_vm_state;
