//! Tests of the bundle.

#![allow(clippy::unwrap_used, missing_docs)]

mod bundle_chain;
mod bundle_stream;
mod fixtures;
mod validation;
