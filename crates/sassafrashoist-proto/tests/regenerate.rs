//! Regenerates the committed code from `proto/vm.proto`.

use std::path::Path;

#[test]
#[ignore = "writes src/generated; run it after a change to proto/vm.proto"]
fn generated_code_is_rewritten_from_proto() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors =
        protox::compile([package.join("proto/vm.proto")], [package.join("proto")]).unwrap();

    tonic_prost_build::configure()
        .out_dir(package.join("src/generated"))
        .compile_fds(descriptors)
        .unwrap();

    assert!(package.join("src/generated/sassafrashoist.vm.v1.rs").exists());
}
