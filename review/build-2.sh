#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10 into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags reviewrig -o target/review-rig-2 ./review/rig-2
