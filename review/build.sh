#!/bin/sh
# Builds the stand-ins that the scripts start. sw-node is built as the deploy file says.
set -e
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
