//! Clients of the platform: log service, VM list and weight store.
//!
//! [`log_client`] calls the log service and reports for each failed append whether it may have
//! taken effect; [`append_once`] resolves such an append by reading the log.

pub mod append_once;
pub mod http_client;
pub mod log_client;
pub mod platform_client;
pub mod response_framing;
pub mod streams;
pub mod vm_list;
pub mod weight_store;
pub mod wire;
