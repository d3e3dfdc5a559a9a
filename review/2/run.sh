#!/usr/bin/env bash
# Plays case 2; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/emberd ] && [ -x review/bin/rig ] || { echo "build the daemon and run review/build.sh first" >&2; exit 2; }
exec timeout -k 5 115 review/bin/rig endlessHead review/2 "$PWD/target/emberd"
