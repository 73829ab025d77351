#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. Run it after the build of
# deploy/system.toml; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/_rig
