#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. It needs Go alone: the module has no dependency.
set -e
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/rig .
