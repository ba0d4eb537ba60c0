#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")/rig"
go build -o ../bin/rig .
