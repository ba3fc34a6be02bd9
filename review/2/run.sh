#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] || { echo "run the build line of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec target/review-harness late-born review/2
