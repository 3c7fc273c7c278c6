#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/standin-3 ] || [ ! -x target/heathermux-platform ]; then
  echo "build first: the command in deploy/system.toml, and review/build-3.sh" >&2
  exit 2
fi
exec target/standin-3 --case late-copy --record review/12/record.txt
