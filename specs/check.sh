#!/usr/bin/env bash
# Checks each model exhaustively, and checks that each broken variant has an error.
set -euo pipefail
specs=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
failed=0

# Builds and runs a model with an optional macro; writes pan's report to NAME.out.
search() {
    local model=$1 macro=$2 name=$1${2:+-$2}
    mkdir "$name"
    (
        cd "$name"
        spin ${macro:+-D"$macro"} -a "$specs/$model.pml" >spin.out
        gcc -O1 -w -DSAFETY -DMEMLIM=2000 -o pan pan.c
        # The depth limit exceeds the longest path; pan reports if it doesn't.
        timeout 60 ./pan -m1000000 >"../$name.out" 2>&1
    ) || {
        echo "FAILED  $name: spin, gcc or pan failed or did not end in time"
        head -n 5 "$name/spin.out"
        return 1
    }
}

field() { sed -n "$2" "$1.out" | head -n 1; }
states() { field "$1" 's/^ *\([0-9.e+]*\) states, stored.*/\1/p'; }
errors() { field "$1" 's/.*errors: \([0-9]*\).*/\1/p'; }

correct() {
    search "$1" "" || { failed=1; return 0; }
    if [ "$(errors "$1")" != 0 ]; then
        echo "FAILED  $1: the correct model has an error"
        grep -m 3 '^pan:' "$1.out" || true
        failed=1
    elif grep -qE 'not completed|max search depth too small|out of memory|reached -DMEMLIM' "$1.out"; then
        echo "FAILED  $1: the search is not exhaustive"
        failed=1
    else
        echo "ok      $1: $(states "$1") states, no error"
    fi
}

# The second argument is a broken variant, or the macro REACH, whose assertion is
# violated if a state is reachable.
must_fail() {
    search "$1" "$2" || { failed=1; return 0; }
    if grep -q '^pan:.*assertion violated' "$1-$2.out"; then
        echo "ok      $1 with $2: error found after $(states "$1-$2") states"
    else
        echo "FAILED  $1 with $2: no violated assertion"
        failed=1
    fi
}

check() {
    local model=$1 variant
    shift
    correct "$model"
    for variant in "$@"; do
        must_fail "$model" "$variant"
    done
    return $failed
}

# The four models run concurrently; their reports are printed one after the other.
pids=()
check gang NO_FENCE NO_WAIT NO_WATCH NO_ALL_READY REACH >gang.report 2>&1 & pids+=($!)
check zone NO_EXPIRY NO_RECHECK FROM_ARRIVAL BY_ARRIVAL REACH >zone.report 2>&1 & pids+=($!)
check config NO_READ_BACK NO_CAS HEAD_ONLY NO_MONOTONIC REACH >config.report 2>&1 & pids+=($!)
check request NO_HISTORY NO_LEASE NO_RING_WAIT RETRY_UNCERTAIN REACH >request.report 2>&1 & pids+=($!)
for pid in "${pids[@]}"; do
    wait "$pid" || failed=1
done
cat gang.report zone.report config.report request.report
exit $failed
