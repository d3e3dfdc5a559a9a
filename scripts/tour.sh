#!/usr/bin/env bash
# Runs stand-ins and 3 daemons until interrupted, for the tour in the README.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-$PWD/bin}
SITE=$PWD/out/site
rm -rf "$SITE"
mkdir -p "$SITE"
. scripts/site.sh
start_site --daemons 3 --engines 3
{
  echo "export PATH=$BIN:\$PATH"
  echo "export EMBERTALLY_KEY=$EMBERTALLY_KEY EMBERTALLY_CA=$EMBERTALLY_CA"
  echo "export EMBERTALLY_SERVER=$EMBERTALLY_SERVER"
  echo "export BOX=$(field callers | head -n 1) OTHER_BOX=$(field callers | tail -n 1)"
  echo "export CALLER_KEY=$(sed -n 's/^ *"org-01": "\(.*\)",*$/\1/p' "$SITE/site.json")"
  echo "export ENGINE=$(sed -n 's/^ *"url": "\(.*\)",*$/\1/p' "$SITE/site.json" | head -n 1)"
} >"$SITE/env"
echo "3 daemons run on stand-ins. In another terminal: . out/site/env"
echo "End with Ctrl-C."
while sleep 1; do :; done
