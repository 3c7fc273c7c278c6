#!/usr/bin/env bash
# Plays the case; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
for program in target/heathermux-platform target/review-standin; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of the deploy file and review/build.sh" >&2
    exit 2
  fi
done
exec target/review-standin foreign-heartbeat review/4/record.txt
