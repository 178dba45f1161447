//! Tests of the stand-ins and the experiments' parts.

#![allow(clippy::unwrap_used, missing_docs)]

mod answer_checks;
mod platform;
mod tcp_link;
