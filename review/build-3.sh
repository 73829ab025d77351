#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start. Run it from anywhere, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/rig3 ./review/_rig3
