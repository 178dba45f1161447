//! The configuration bundle, which operators write, sign, approve and roll out.
//!
//! - [`bundle`] holds the types, which docs/BUNDLE.md describes.
//! - [`validate_bundle`] reports every error of a bundle at once.
//! - [`signed_bundle`] is a bundle with its author's signature and another operator's approval.
//! - [`diff_bundles`] lists the differences between two bundles for operators to read.
//! - [`bundle_manifest`] is the canonical form and its digest.
//! - [`bundle_record`] is a record of the bundle stream: a proposal, a delta or a snapshot.
//! - [`bundle_chain`] decides which bundles are accepted, in the same way on every VM.

pub mod account;
pub mod backend_server;
pub mod bundle;
pub mod bundle_chain;
pub mod bundle_delta;
pub mod bundle_manifest;
pub mod bundle_record;
pub mod bundle_snapshot;
pub mod diff_bundles;
pub mod operator_change;
pub mod operator_keys;
pub mod problem;
pub mod read_json;
pub mod route;
pub mod sample;
pub mod section_delta;
pub mod section_item;
pub mod signed_bundle;
pub mod snapshot_schedule;
pub mod validate_bundle;
