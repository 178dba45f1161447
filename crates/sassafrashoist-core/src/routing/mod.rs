//! Chooses the backend server of each attempt, and the next request to serve when all servers are
//! busy.
//!
//! [`routing_table::RoutingTable`] holds the servers and, for each pool and model, the set of
//! servers that may take one more request now. The set is updated when an attempt begins or ends,
//! so choosing a server samples from the set and never scans all servers. A request that finds the
//! set empty waits in an [`admission_queue::AdmissionQueue`] or is refused at once.

pub mod admission_queue;
pub mod cache_event;
pub mod choose;
pub mod circuit_breaker;
pub mod concurrency_limit;
pub mod load_estimate;
pub mod moving_average;
pub mod policy;
pub mod prefix_index;
pub mod rate_meter;
pub mod routing_table;
pub mod sample_set;
pub mod server_entry;
pub mod server_group;
pub mod server_limit;
pub mod server_view;
