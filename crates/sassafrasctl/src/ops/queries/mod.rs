//! Read-only operations.

pub mod check_bundle;
pub mod explain_request;
pub mod fleet_status;
pub mod format_fleet;
pub mod list_vms;
pub mod read_bundle_chain;
pub mod read_ledger;
pub mod read_vm_state;
pub mod show_budget;
