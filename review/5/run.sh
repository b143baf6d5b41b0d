#!/usr/bin/env bash
# Plays the case `cancel` of review/tool and writes record.txt beside this file. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the
# disruption out. Build first: the build line of the deploy file, then review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
export TROUBLE="${TROUBLE:-1}"
exec "$here/../play.sh" cancel "$here"
