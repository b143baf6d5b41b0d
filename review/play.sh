#!/usr/bin/env bash
# Plays a case in a temporary folder and ends what it started. Usage: review/play.sh CASE FOLDER
set -u
cd "$(dirname "$0")/.."
[ -x target/review/review ] && [ -x target/release/cumindeck-frontend ] && [ -x target/release/cumindeck-side ] || exit 2
REVIEW_DIR=$(mktemp -d) || exit 2
export REVIEW_DIR TROUBLE="${TROUBLE:-1}"
finish() {
    [ -z "${driver:-}" ] || kill -9 "$driver" 2>/dev/null
    [ ! -f "$REVIEW_DIR/pids" ] || xargs kill -9 <"$REVIEW_DIR/pids" 2>/dev/null
    [ -z "${KEEP_LOGS:-}" ] || cp "$REVIEW_DIR"/*.log "$KEEP_LOGS"
    rm -rf "$REVIEW_DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review/review case "$1" "$2/record.txt" &
driver=$!
wait "$driver"
code=$?
driver=
exit "$code"
