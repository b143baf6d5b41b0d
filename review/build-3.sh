#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the programs of the deploy file:
# the project's stand-ins of the store and of a worker, and the cases themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p cumindeck-standins \
    --bin cumindeck-standin-store --bin cumindeck-standin-worker
cargo build --release --locked --offline --manifest-path review/tool-3/Cargo.toml \
    --target-dir target/review-3
