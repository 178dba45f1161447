//! The operator's settings and context.

pub mod ctl_context;
pub mod ctl_settings;
