#!/bin/bash
# Builds the stand-ins of the cases 12 and 13. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/driver review/stand-ins-3/src/main.rs
