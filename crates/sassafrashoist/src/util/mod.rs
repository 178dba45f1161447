//! Helpers with one job each.

pub mod http_answer;
pub mod http_server;
pub mod logging;
pub mod metrics_page;
pub mod queued_stdout;
