#!/usr/bin/env bash
# Formatter, linter, documentation, tests and model checks; stops at the first failure.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TERM_COLOR=never
export INSTA_UPDATE=no
# Incremental builds double the size of the target folder and save nothing here.
export CARGO_INCREMENTAL=0

# Installs a tool only if it is missing, so that a new machine needs no set-up.
have() { command -v "$1" >/dev/null 2>&1; }
have cargo-nextest || cargo install --locked cargo-nextest

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo build --workspace --bins --locked
cargo nextest run --workspace --locked --no-fail-fast
if [ -x specs/check.sh ]; then
    have spin || { apt-get update -qq && apt-get install -y -qq spin; }
    specs/check.sh
fi
