#!/usr/bin/env bash
# Plays the days of a folder on the users' bench, a few at a time, and prints
# the line of each: scripts/days.sh BENCH SITE.toml FOLDER [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 folder=$3 jobs=${4:-3}
export bench site
play() {
  "$bench" run "$site" "$1" --jobs 1 --why "own day $1" 2>&1 | grep -E '^(mixed-|fleetbench|  *[a-z].*: no |rules broken|[A-Z]+ at)' | head -n 6 || true
}
export -f play
find "$folder" -name '*.toml' | sort | xargs -P "$jobs" -I{} bash -c 'play {}'
