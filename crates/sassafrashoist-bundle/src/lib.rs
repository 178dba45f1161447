//! The configuration bundle: what operators write, sign off and roll out.
//!
//! - [`bundle`] holds the types; docs/BUNDLE.md is their page.
//! - [`validate_bundle`] reports every error of a bundle at once.
//! - [`signed_bundle`] is a bundle with its author's signature and another operator's approval.
//! - [`diff_bundles`] is what changed, for people.
//! - [`bundle_manifest`] is the canonical form and its digest.
//! - [`bundle_record`] is what the log stream of bundles holds: proposals, deltas and snapshots.
//! - [`bundle_chain`] is the rule by which every VM accepts the same bundles.

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
