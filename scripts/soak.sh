#!/usr/bin/env bash
# Plays the soaks on real processes: scripts/soak.sh SEED MINUTES. Without MINUTES each soak is played with the one seed, else with
# SEED and the seeds after it for about so long. Prints a line for each play; the output of one that fails is kept.
set -euo pipefail
cd "$(dirname "$0")/../platform"
seed=$1 minutes=${2:-0} failed=0
out=$(mktemp -d)
go test -c -o "$out/soak.test" .
end=$((SECONDS + 60 * minutes))
while :; do
  for soak in Requests:requests Streams:streams Configurations:soak; do
    log="$out/${soak#*:}-$seed.log"
    if "$out/soak.test" -test.v -test.timeout 10m -test.run "Test${soak%:*}UnderASeriesOfFaults" "-${soak#*:}Seed=$seed" >"$log" 2>&1; then
      verdict=holds
    else
      verdict="FAILS, see $log" failed=$((failed + 1))
    fi
    echo "seed $seed, ${soak%:*}: $verdict; $(grep -o '[0-9]* \(requests\|streams\|configurations\), .*' "$log" | head -n 1 || true)"
    if [[ $verdict == holds ]]; then rm "$log"; fi
  done
  seed=$((seed + 1))
  if ((SECONDS >= end)); then break; fi
done
echo "$failed plays fail"
if ((failed > 0)); then exit 1; fi
rm -r "$out"
