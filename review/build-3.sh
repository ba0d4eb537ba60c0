#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, besides the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig-3
