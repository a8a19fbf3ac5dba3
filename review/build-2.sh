#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. It needs no network: the module has no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/standin-2 .
