#!/usr/bin/env bash
# Plays the case 'power-loss'; see claim.txt. Needs the build of the deploy file and
# review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
tool=target/review-3/release/review-3
for program in "$tool" target/release/cumindeck-{frontend,side,standin-store,standin-worker}; do
    [ -x "$program" ] || { echo "$program is missing; run review/build-3.sh"; exit 2; }
done
exec "$tool" power-loss review/14
