#!/bin/sh
# Exits with 1 if a body went to a machine of a region that is no home, 0 if none did, and 2
# if the case couldn't run.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/sw-node ] && [ -x target/review-standin ] || { echo "build first"; exit 2; }
exec target/review-standin -record "$dir/record.txt" home
