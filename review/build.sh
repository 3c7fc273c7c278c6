#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The project's own programs are built by
# the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
