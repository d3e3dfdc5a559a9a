#!/usr/bin/env bash
# Plays days of our own on the users' bench, a few at a time, and prints the
# line of each: scripts/days.sh BENCH SITE.toml [PATTERN [JOBS]]. Without a
# pattern all of deploy/days are played; a day that does not fit a site says so.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 pattern=${3:-*} jobs=${4:-3}
export bench site
play() {
  echo "$1: $("$bench" run "$site" "$1" --jobs 1 --why "own day $1" 2>&1 | grep -E '^(fleetbench|  *[a-z].*: no |rules broken|[A-Z]+ at)' | head -n 6 | tr '\n' ' ' || true)"
}
export -f play
find deploy/days -name "$pattern.toml" | sort | xargs -P "$jobs" -I{} bash -c 'play {}'
