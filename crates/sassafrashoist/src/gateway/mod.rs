//! The router for a platform whose log service holds all durable state.
//!
//! The process runs on one thread. [`run_gateway`] starts the tasks below; each file holds one
//! action:
//!
//! - [`serve_clients`] accepts connections and [`serve_request`] handles a request from start to
//!   end: find the route and check access, reserve the worst-case tokens in escrow
//!   ([`obtain_tokens`]), send the request to backend servers until one responds ([`run_attempts`],
//!   [`send_attempt`]), forward the response ([`forward_events`]), settle the used tokens
//!   ([`token_reservation`]).
//! - [`open_connections`] knows what is owed to the callers of all connections, which a VM that stops
//!   waits for; [`turn_away`] responds to callers for whose connections there is no room.
//! - [`watch_stalls`] notices that the process stood still; [`caller_presence`] then asks whether a
//!   caller is still there before its request is sent.
//! - [`refuse_by_config`] refuses what the configuration does not allow; for now only, while it may be
//!   old.
//! - [`topic_reader`] reads a topic of the log service and [`follow_topic`] keeps reading it;
//!   [`follow_config`] and [`follow_servers`] apply the updates. In a large fleet only a few VMs of
//!   each data centre read the configuration and announce it ([`share_config`]); the others get it
//!   from these ([`fetch_config`]).
//! - [`maintain_holding`] draws tokens from the ledger of prepaid tokens and returns them, by
//!   conditional appends to the log; [`request_tokens`], [`transfer_tokens`] and [`serve_peers`]
//!   move tokens between VMs.
//! - [`choose_server`] chooses the server of each attempt, and obtains a permit if that server names
//!   a limit; [`issue_permit`] issues permits to all VMs, and [`share_limit`] tells them of changed
//!   limits.
//! - [`reach_server`] opens the connection of an attempt. If this VM has lost its path to the server,
//!   [`open_relay`] asks another VM for a connection, which [`serve_relay`] opens and carries there;
//!   [`probe_paths`] finds out when the path is back.
//! - [`report_server_end`] finds out whether a lost connection was the end of the server,
//!   [`share_crashes`] tells all VMs under which request, and [`isolate_suspects`] keeps requests
//!   that crash servers from them.
//! - [`share_rejections`] tells all VMs of requests that a brittle server turned away.
//! - [`share_stream_origin`] sends where a stream began to the VMs that keep it, and
//!   [`find_stream_origin`] finds it when a caller resumes the stream; [`check_server_list`] reads what
//!   is new in the server list when only that can tell, and [`confirm_config`] waits until no newer
//!   configuration is known; [`read_origin_history`] reads all that the log has named when no VM has
//!   followed it for long; [`confirm_incarnation`] asks other VMs whether the next server of a stream
//!   has restarted.
//! - [`serve_readiness`] serves the readiness check of the load balancer, [`serve_metrics`] the
//!   metrics for operators.
//!
//! Decisions are made in `sassafrashoist_core::gateway`; the platform's header names, paths and
//! formats are in `sassafrashoist_adapter`.

pub mod buffered_body;
pub mod caller_presence;
pub mod caller_socket;
pub mod caller_stream;
pub mod check_server_list;
pub mod choose_server;
pub mod closing_signals;
pub mod config_messages;
pub mod confirm_config;
pub mod confirm_incarnation;
pub mod counted_body;
pub mod crash_messages;
pub mod disconnect_guard;
pub mod fetch_config;
pub mod fetch_tokens;
pub mod find_stream_origin;
pub mod follow_config;
pub mod follow_servers;
pub mod follow_topic;
pub mod forward_events;
pub mod framing_meter;
pub mod gateway_context;
pub mod held_bytes;
pub mod held_splitter;
pub mod held_vec;
pub mod http_connection;
pub mod isolate_suspects;
pub mod issue_permit;
pub mod listen;
pub mod log_client;
pub mod maintain_holding;
pub mod memory_share;
pub mod metered_stream;
pub mod obtain_tokens;
pub mod open_connection;
pub mod open_connections;
pub mod open_relay;
pub mod peer_datagram;
pub mod peer_messages;
pub mod permit_book;
pub mod permit_messages;
pub mod probe_paths;
pub mod queue_entry;
pub mod reach_server;
pub mod read_clocks;
pub mod read_origin_history;
pub mod read_stored_origins;
pub mod receive_datagrams;
pub mod refuse_by_config;
pub mod refuse_by_link;
pub mod relay_messages;
pub mod relay_use;
pub mod report_server_end;
pub mod request_body;
pub mod request_context;
pub mod request_progress;
pub mod request_tokens;
pub mod response_body;
pub mod run_attempts;
pub mod run_gateway;
pub mod send_attempt;
pub mod send_message;
pub mod serve_clients;
pub mod serve_metrics;
pub mod serve_peers;
pub mod serve_readiness;
pub mod serve_relay;
pub mod serve_request;
pub mod server_body;
pub mod share_config;
pub mod share_crashes;
pub mod share_evacuations;
pub mod share_limit;
pub mod share_rejections;
pub mod share_stream_origin;
pub mod shared_stream;
pub mod silence_limit;
pub mod store_stream_origins;
pub mod stream_in_progress;
pub mod stream_origin_messages;
pub mod token_book;
pub mod token_reservation;
pub mod topic_connectivity;
pub mod topic_reader;
pub mod tracked_body;
pub mod transfer_tokens;
pub mod turn_away;
pub mod watch_caller;
pub mod watch_stalls;
