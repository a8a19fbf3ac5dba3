#!/bin/sh
# Exits with 1 if a request that crashes replicas goes on reaching them, 0 if it does not, and
# 2 if the case couldn't run.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/sw-node ] && [ -x target/review-standin ] || { echo "build first"; exit 2; }
exec target/review-standin -record "$dir/record.txt" poison
