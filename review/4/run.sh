#!/bin/sh
# Exits with 1 if the route that was added later is served less than a quarter as often as the
# first one in steady state, 0 if not, and 2 if the case couldn't run.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/sw-node ] && [ -x target/review-standin ] || { echo "build first"; exit 2; }
exec target/review-standin -record "$dir/record.txt" ban
