//! The state of the router process and the types that its operations share.

pub mod account_limiters;
pub mod active_bundle;
pub mod backend_dispatcher;
pub mod caller_request;
pub mod chosen_server;
pub mod clock;
pub mod contact_table;
pub mod control_traffic;
pub mod drain_gate;
pub mod peer_clients;
pub mod process_state;
pub mod readiness;
pub mod refusal;
pub mod relay_messages;
pub mod relay_stream;
pub mod relay_table;
pub mod request_registry;
pub mod response_sink;
pub mod router_context;
pub mod settings;
pub mod shard_locks;
pub mod tables;
