//! What the router process does, a file per action.

pub mod admit_request;
pub mod call_backend;
pub mod check_settings;
pub mod choose_backend;
pub mod drain_router;
pub mod dump_state;
pub mod follow_bundles;
pub mod follow_known_key;
pub mod follow_ledger;
pub mod follow_vm_list;
pub mod handle_request;
pub mod mint_key;
pub mod pass_answer;
pub mod pass_stream;
pub mod poll_backends;
pub mod query_request;
pub mod read_request;
pub mod read_stream;
pub mod refuse_place;
pub mod run_router;
pub mod serve_admin;
pub mod serve_callers;
pub mod serve_fleet;
pub mod serve_owner;
pub mod serve_peers;
pub mod settle_request;
