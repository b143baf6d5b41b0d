#!/bin/bash
# Builds the stand-ins and clients of the script cases 6 to 10.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name cases -o target/review-2/cases review/tool-2/main.rs
