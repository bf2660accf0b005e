#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. They have no dependency.
set -e
cd "$(dirname "$0")"
cargo build --release --offline --locked --manifest-path standin-2/Cargo.toml --target-dir ../target/review-2
