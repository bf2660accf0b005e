#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this folder. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
