//! Tests of the stand-ins and of helpers of the experiments.

#![allow(clippy::unwrap_used, missing_docs)]

mod answer_checks;
mod platform;
mod tcp_link;
