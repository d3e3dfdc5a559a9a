#!/usr/bin/env bash
# Plays the standard days of sites on the users' bench with each mechanism
# switched off in turn, and prints what each is worth:
#   scripts/ablate.sh BENCH OUT.tsv SITE.toml...
# MECHANISMS names the switches (default: all), "all" stands for none switched
# off; SEEDS and JOBS are how the days are drawn and how many are played at once.
# Days that OUT.tsv has already are not played again.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$(realpath "$1") out=$(realpath -m "$2")
shift 2
sites=()
for site in "$@"; do sites+=("$(realpath "$site")"); done
seeds=${SEEDS:-1 2 3} jobs=${JOBS:-4}
mechanisms=${MECHANISMS:-all $(sed -n 's/.*yaml:"\([a-zA-Z]*\)".*/\1/p' core/relay/disabled.go)}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$(dirname "$out")"
touch "$out"

# tree MECHANISM makes a copy of the committed sources with it switched off.
tree() {
  mkdir -p "$work/$1/journal"
  git archive HEAD -- . ':!journal' | tar -C "$work/$1" -xf -
  [ "$1" = all ] || printf 'without:\n  %s: true\n' "$1" >>"$work/$1/deploy/settings.yaml"
  (cd "$work/$1" && "$bench" build >/dev/null)
}

# play MECHANISM SITE DAY SEED appends one line with what the day was worth.
play() {
  local report
  report="$work/$1-$(basename "$2" .toml)-$3-$4.json"
  (cd "$work/$1" && "$bench" run "$2" "$3" --seed "$4" --no-cpu --jobs 1 --report "$report" --why "ablation: without $1" >/dev/null 2>&1) || true
  local worth
  worth=$(sed -n 's/^ *"G": \([-0-9.]*\),*$/\1/p' "$report" 2>/dev/null | head -n 1)
  printf '%s\t%s\t%s\t%s\t%s\n' "$1" "$(basename "$2" .toml)" "$3" "$4" "${worth:-missing}" >>"$out"
}
export -f play
export bench out work

for mechanism in $mechanisms; do
  tree "$mechanism"
  for site in "${sites[@]}"; do
    for day in $(sed -n '/^\[\[day\]\]/,/^$/s/^name = "\(.*\)"/\1/p' "$site"); do
      for seed in $seeds; do
        grep -q "^$mechanism	$(basename "$site" .toml)	$day	$seed	" "$out" || printf '%s\n' "$mechanism $site $day $seed"
      done
    done
  done | xargs -r -P "$jobs" -L 1 bash -c 'play "$@"' play
  cp -n "$work/$mechanism"/journal/*.json journal/ 2>/dev/null || true
  rm -rf "${work:?}/$mechanism"
done
bin/embplay worth "$out"
