#!/usr/bin/env bash
# Shows the main job on embedded stand-ins and leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-$PWD/bin}
. scripts/site.sh
start_site --daemons 3 --engines 3
echo "stand-ins and 3 daemons run as separate processes; organisations, deployment, policies and targets are applied"
"$BIN/embplay" demo --dir "$SITE"
"$BIN/embctl" status
