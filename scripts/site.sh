# Functions that start and stop a set of stand-ins with daemons. Sourced by the
# other scripts. Needs BIN, the folder of the built programs.

SITE=${SITE:-$(mktemp -d)}
PIDS=()

stop_site() {
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$SITE"
}
trap stop_site EXIT

# wait_for DESCRIPTION COMMAND... waits until the command succeeds.
wait_for() {
  local what=$1
  shift
  for _ in $(seq 600); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "gave up waiting for $what" >&2
  return 1
}

# field NAME... reads fields of the site file.
field() { sed -n "s/^ *\"$1\": \"\(.*\)\",*$/\1/p" "$SITE/site.json"; }

# start_site FLAGS... starts the stand-ins and one daemon for each settings file.
start_site() {
  "$BIN/embfake" site --dir "$SITE" "$@" >"$SITE/embfake.log" 2>&1 &
  PIDS+=($!)
  wait_for "the stand-ins" test -f "$SITE/site.json" || { cat "$SITE/embfake.log"; return 1; }
  for settings in "$SITE"/entry-*.yaml; do
    "$BIN/emberd" run "$settings" >"$settings.log" 2>&1 &
    PIDS+=($!)
    echo $! >"${settings%.yaml}.pid"
  done
  export EMBERTALLY_KEY EMBERTALLY_SERVER EMBERTALLY_CA
  EMBERTALLY_KEY=$(field operatorKey)
  EMBERTALLY_SERVER=$(field operators | head -n 1)
  EMBERTALLY_CA=$(field ca)
  wait_for "the daemons" "$BIN/embctl" status
  wait_for "the resources" "$BIN/embctl" apply -f "$SITE/resources.yaml"
  wait_for "the workers' loads" all_loaded
}

# all_loaded succeeds once every daemon may use every engine and knows its load,
# and sees all daemons.
all_loaded() {
  local want server have
  want=$(grep -c '"name": "engine-' "$SITE/site.json")
  for server in $(field operators); do
    have=$("$BIN/embctl" --server "$server" status | grep -c " usable .*tokens wait") || true
    [ "$have" = "$want" ] || return 1
    have=$("$BIN/embctl" --server "$server" status | grep -c "^entry-.* live ") || true
    [ "$have" = "$(field settings | wc -l)" ] || return 1
  done
}
