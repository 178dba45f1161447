//! Stand-ins of the platform's log service, of backend servers and of callers, and the start of
//! gateways as processes. Uses only the standard library.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod gateway;
pub mod harness;
pub mod http;
pub mod link;
pub mod log_service;
pub mod server;
