#!/usr/bin/env bash
# Runs COUNT seeds of the fault soak test, starting with seed FIRST, and prints the
# injected faults of each seed and each failure.
# Usage: scripts/soak.sh FIRST COUNT
set -euo pipefail
cd "$(dirname "$0")/.."
first=$1
end=$((first + $2))
# A test process has ports for six seeds of 37 ports each, and also runs the
# regression seeds, which failed once.
step=5
failed=0
output=$(mktemp)
trap 'rm -f "$output"' EXIT
cargo build --workspace --bins --locked
while [ "$first" -lt "$end" ]; do
    count=$((end - first < step ? end - first : step))
    SOAK_FIRST=$first SOAK_SEEDS=$count RUST_BACKTRACE=0 \
        cargo nextest run -p cumindeck-soak --no-capture >"$output" 2>&1 || failed=1
    grep -E '^seed|^    "' "$output" || tail -20 "$output"
    first=$((first + count))
done
exit "$failed"
