#!/usr/bin/env bash
# Builds the stand-ins that the scripts of REPORT-3.md start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/standin3 .
