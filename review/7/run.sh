#!/bin/bash
# Plays the case; build the programs and review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] || exit 2
exec target/review-2/cases rejected-job review/7/record.txt
