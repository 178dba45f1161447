//! General helpers for HTTP, logging and metrics.

pub mod http_response;
pub mod http_server;
pub mod logging;
pub mod metrics_page;
pub mod queued_stdout;
pub mod streamed_body;
