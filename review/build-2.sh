#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/lost-machines review/7/lost_machines.rs
rustc --edition 2024 -O -o target/review-2/take-up review/8/take_up.rs
rustc --edition 2024 -O -o target/review-2/roll review/9/roll.rs
