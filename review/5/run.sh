#!/bin/sh
# Exits with 1 if orders reach a leaving replica later than drainMs after the VM has passed on
# an answer that says that it leaves, 0 if none do, and 2 if the case couldn't run.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/sw-node ] && [ -x target/review-standin ] || { echo "build first"; exit 2; }
exec target/review-standin -record "$dir/record.txt" leaving
