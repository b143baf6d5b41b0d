#!/usr/bin/env bash
# Plays the case `rejected-job` of review/tool-2 and writes record.txt beside this file. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the
# disruption out. Build first: the build line of the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in cumindeck-frontend cumindeck-side; do
    [ -x "target/release/$program" ] || exit 2
done
[ -x target/review-2/cases ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/cases rejected-job review/7/record.txt
