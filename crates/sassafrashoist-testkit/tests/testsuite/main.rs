//! Tests of the stand-ins and of helpers of the experiments.

#![allow(clippy::unwrap_used, missing_docs)]

mod platform;
mod response_checks;
mod service_stand_in;
mod tcp_link;
