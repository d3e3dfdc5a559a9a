#!/usr/bin/env bash
# Builds the stand-ins and checks that the scripted cases use. They need no library beside Go's own.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../bin
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/rig .
