#!/usr/bin/env bash
# Builds the stand-ins and cases of the review: one program, from the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review review/tool/main.rs
