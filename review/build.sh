#!/bin/sh
# Builds the stand-ins of the scripts: one program, from the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
