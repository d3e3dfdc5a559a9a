#!/usr/bin/env bash
# Plays case 3; see claim.txt. TROUBLE=0 plays it without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/emberd ] && [ -x review/bin/rig ] || { echo "build the daemon and run review/build.sh first" >&2; exit 2; }
exec timeout -k 5 115 review/bin/rig staleVersion review/3 "$PWD/target/emberd"
