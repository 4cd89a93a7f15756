#!/bin/sh
# Plays the case on loopback addresses. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/entry ] || [ ! -x target/review-2/stand ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-2/stand patience review/10/record.txt
