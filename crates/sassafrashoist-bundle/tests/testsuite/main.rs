//! Tests of the bundle.

#![allow(clippy::unwrap_used, missing_docs)]

mod bundle_chain;
mod validation;
