#!/usr/bin/env bash
# Plays COUNT seeds of the fault soak from FIRST on, six in each test process,
# and prints what each seed played and each failure.
# Usage: scripts/soak.sh FIRST COUNT
set -euo pipefail
cd "$(dirname "$0")/.."
first=$1
end=$((first + $2))
# A test process has ports for six seeds of 37 ports each.
step=6
failed=0
cargo build --workspace --bins --locked
while [ "$first" -lt "$end" ]; do
    count=$((end - first < step ? end - first : step))
    SOAK_FIRST=$first SOAK_SEEDS=$count RUST_BACKTRACE=0 \
        cargo nextest run -p cumindeck-soak --no-capture 2>&1 |
        grep -E '^seed|^    "' || true
    [ "${PIPESTATUS[0]}" -eq 0 ] || failed=1
    first=$((first + count))
done
exit "$failed"
