#!/usr/bin/env bash
# Builds the program that plays the scripts of the second review, with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/rig2 ./review/_rig2
