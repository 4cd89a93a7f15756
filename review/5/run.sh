#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd) || exit 2
export ROOT
[ -x "$ROOT/target/entry" ] && [ -x "$ROOT/target/review-standin" ] || exit 2
timeout -k 2 115 "$ROOT/target/review-standin" vacated .
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
