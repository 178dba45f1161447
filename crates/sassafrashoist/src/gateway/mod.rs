//! The router on a platform whose log service holds all that must last.
//!
//! One process on one thread. [`run_gateway`] starts what follows; each file is one action:
//!
//! - [`serve_clients`] accepts connections and [`serve_request`] takes a request through its life:
//!   allow, reserve tokens ([`obtain_tokens`]), send to a server ([`send_attempt`]), pass the answer
//!   on ([`pass_events`]), settle.
//! - [`topic_reader`] reads a topic of the log service, [`follow_topic`] follows one; [`follow_config`] and [`follow_servers`] put
//!   what it says in force.
//! - [`maintain_holding`] keeps this VM's part of the ledger of prepaid tokens;
//!   [`request_tokens`], [`transfer_tokens`] and [`serve_peers`] move tokens between VMs.
//! - [`serve_readiness`] answers the balancer, [`serve_metrics`] operators.
//!
//! The decisions are in `sassafrashoist_core::gateway`, the platform's names in
//! `sassafrashoist_adapter`.

pub mod answer_body;
pub mod caller_watch;
pub mod fetch_tokens;
pub mod follow_config;
pub mod follow_servers;
pub mod follow_topic;
pub mod gateway_context;
pub mod http_exchange;
pub mod listen;
pub mod log_link;
pub mod maintain_holding;
pub mod obtain_tokens;
pub mod pass_events;
pub mod peer_messages;
pub mod queue_entry;
pub mod read_clocks;
pub mod request_life;
pub mod request_tokens;
pub mod run_attempts;
pub mod run_gateway;
pub mod send_attempt;
pub mod send_message;
pub mod serve_clients;
pub mod serve_metrics;
pub mod serve_peers;
pub mod serve_readiness;
pub mod serve_request;
pub mod token_book;
pub mod token_reservation;
pub mod topic_reach;
pub mod topic_reader;
pub mod transfer_tokens;
