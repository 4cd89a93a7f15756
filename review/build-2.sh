#!/bin/sh
# Builds the stand-in that the scripts of cases 6 to 10 start. It needs no network: the module has no
# dependencies.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2/stand .
