//! Which backend server runs an attempt.

pub mod choose;
pub mod policy;
pub mod routing_table;
pub mod server_view;
