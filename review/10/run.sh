#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. Needs target/sw-node (build of the deploy file) and
# target/standin-2 (review/build-2.sh).
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/sw-node ] && [ -x target/standin-2 ] || { echo "target/sw-node or target/standin-2 is missing"; exit 2; }
timeout --kill-after=5 115 target/standin-2 live "$folder"
code=$?
[ $code -le 1 ] && exit $code
exit 2
