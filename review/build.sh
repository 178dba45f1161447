#!/usr/bin/env bash
# Builds the stand-ins of the review cases. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
