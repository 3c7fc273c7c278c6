#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 11 to 15 start. The programs under test are
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin-3
