//! Operations that change files, bundles or budgets.

pub mod approve_bundle;
pub mod init_bundle;
pub mod push_bundle;
pub mod sign_bundle;
pub mod top_up_budget;
