#!/usr/bin/env bash
# Replays the same trace under each placement: scripts/compare.sh DEPLOYMENT SEED
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-$PWD/bin}
OUT=${OUT:-$PWD/out}
DEPLOYMENT=${1:-abonamente}
SEED=${2:-1}
SECONDS_EACH=${SECONDS_EACH:-28}
PLACEMENTS=${PLACEMENTS:-roundRobin leastTokens stickyHash always first returning}
mkdir -p "$OUT"
"$BIN/embplay" trace --deployment "$DEPLOYMENT" --seed "$SEED" --duration "${SECONDS_EACH}s" --out "$OUT/trace.jsonl"
files=()
for placement in $PLACEMENTS; do
  file="$OUT/figures-$placement.json"
  (
    . scripts/site.sh
    start_site --deployment "$DEPLOYMENT" --placement "$placement"
    "$BIN/embplay" run --dir "$SITE" --trace "$OUT/trace.jsonl" --placement "$placement" --out "$file" >"$OUT/run-$placement.txt" 2>&1 ||
      tail -n 1 "$OUT/run-$placement.txt"
    cat "$SITE"/*.log >"$OUT/logs-$placement.txt"
  )
  files+=("$file")
done
echo "deployment $DEPLOYMENT, seed $SEED, $SECONDS_EACH seconds under each placement"
"$BIN/embplay" compare --dir "$OUT" "${files[@]}"
