#!/usr/bin/env bash
# Formatter and linters, set to the Google Go Style Guide, pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-$PWD/bin}
(cd tools && GOWORK=off go build -o "$BIN/" honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive mvdan.cc/gofumpt)
unformatted=$("$BIN/gofumpt" -l core emberd embctl embfake embplay platform)
if [ -n "$unformatted" ]; then
  echo "gofumpt would change:" && echo "$unformatted" && exit 1
fi
for m in core emberd embctl embfake embplay platform; do
  (cd "$m" && go vet ./... && "$BIN/staticcheck" -checks all ./... && "$BIN/revive" -config ../tools/revive.toml ./...)
done
echo "lint: clean"
