//! Generated code of the RPC calls between VMs.
//!
//! The code under `generated/` is committed, so a build needs no protobuf compiler. After a change
//! to `proto/vm.proto`, run `cargo test -p sassafrashoist-proto -- --ignored` to regenerate it.

/// Version 1 of the RPC calls between VMs.
#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod v1 {
    include!("generated/sassafrashoist.vm.v1.rs");
}
