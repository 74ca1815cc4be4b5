#!/usr/bin/env bash
# Starts an example deployment on loopback addresses, sends chats and one
# non-repeatable call through it, and stops it.
#
#   scripts/demo.sh               runs the plant deployment
#   DEPLOYMENT=timber ...         runs the timber deployment
#   KEEP=1 ...                    keeps it running and prints example requests
set -euo pipefail
cd "$(dirname "$0")/.."

DEPLOYMENT="${DEPLOYMENT:-plant}"
KEEP="${KEEP:-}"
BIN=.venv/bin
EXAMPLE="examples/$DEPLOYMENT"
OUT="out/$DEPLOYMENT"
START_S=30
STOP_S=40
PIDS=()
ROUTER_PIDS=()

case "$DEPLOYMENT" in
  plant)
    PLATFORM=127.0.1.9:20070 MODEL=rolling-planner ACCOUNT=shift-supervisors
    CLASS=press-question SERVICE=line OPERATION=release-coil
    ;;
  timber)
    PLATFORM=127.0.2.9:20070 MODEL=treatment-desk ACCOUNT=clerks
    CLASS=batch-question SERVICE=registry OPERATION=issue-certificate
    ;;
  *)
    echo "no such deployment: $DEPLOYMENT" >&2
    exit 2
    ;;
esac

# start NAME COMMAND...: runs a command in the background and logs its output.
start() {
  local name="$1"
  shift
  "$@" >"$OUT/$name.log" 2>&1 &
  PIDS+=("$!")
  echo "$!" >>"$OUT/pids"
}

# vms_of_kind KIND: prints name, address, pool and fenced of each VM of a kind.
vms_of_kind() {
  "$BIN/python" - "$OUT/vms.json" "$1" <<'PYTHON'
import json
import sys

path, kind = sys.argv[1:]
with open(path, encoding="utf-8") as file:
    for vm in json.load(file)["vms"]:
        if vm["kind"] == kind:
            fenced = str(vm["fenced"]).lower()
            print(vm["name"], vm["address"], vm["pool"], fenced)
PYTHON
}

key_of() {
  "$BIN/python" -c 'import json, sys
print(json.load(open(sys.argv[1], encoding="utf-8"))["keys"][sys.argv[2]])' \
    "$EXAMPLE/callers.json" "$1"
}

# end PID...: sends SIGTERM to each process, waits STOP_S seconds in total and
# kills the processes that have not exited by then.
end() {
  local pid left
  for pid in "$@"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  left=$((STOP_S * 10))
  for pid in "$@"; do
    while kill -0 "$pid" 2>/dev/null && [ "$left" -gt 0 ]; do
      sleep 0.1
      left=$((left - 1))
    done
    if kill -KILL "$pid" 2>/dev/null; then
      echo "process $pid did not end by itself" >&2
    fi
    wait "$pid" 2>/dev/null || true
  done
}

# Routers stop first because their open streams need the engines.
stop() {
  end "${ROUTER_PIDS[@]}"
  end "${PIDS[@]}"
  ROUTER_PIDS=()
  PIDS=()
}

# wait_for URL...: waits until each URL answers 200; exits if a started process
# exits or after START_S seconds.
wait_for() {
  "$BIN/python" - "$START_S" "$OUT/pids" "$@" <<'PYTHON' || show_logs
import os
import sys
import time
import urllib.request

deadline = time.monotonic() + float(sys.argv[1])
with open(sys.argv[2], encoding="utf-8") as file:
    pids = [int(line) for line in file]


def is_alive(pid):
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            return file.read().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return not os.path.isdir("/proc/self")


for url in sys.argv[3:]:
    while True:
        try:
            urllib.request.urlopen(url, timeout=2).close()
            break
        except OSError as caught:
            if not all(is_alive(pid) for pid in pids):
                sys.exit("a process has ended")
            if time.monotonic() > deadline:
                sys.exit(f"no answer from {url}: {caught}")
            time.sleep(0.1)
PYTHON
}

show_logs() {
  echo "the logs are in $OUT; the last lines of the routers:" >&2
  tail -n 5 "$OUT"/router-*.log >&2 || true
  exit 1
}

mkdir -p "$OUT"
rm -f "$OUT"/*.log "$OUT/pids"
# The platform publishes edits of these copies while the deployment runs.
cp "$EXAMPLE/configuration.json" "$EXAMPLE/vms.json" "$OUT/"
trap stop EXIT
trap 'exit 130' INT TERM

start platform "$BIN/python" -m nutmegpost_standins.platform \
  --address="$PLATFORM" --configuration="$OUT/configuration.json" \
  --vms="$OUT/vms.json"
VERSION="$("$BIN/python" -c 'import json, sys
model = json.load(open(sys.argv[1], encoding="utf-8"))["models"][0]
print(model["version"], model.get("adapter", ""))' "$OUT/configuration.json")"
while read -r name address pool fenced; do
  start "$name" "$BIN/python" -m nutmegpost_standins.engine \
    --address="$address" --model="$pool" --fenced="$fenced" \
    --version="${VERSION% *}" --adapter="${VERSION#* }" \
    --platform="$PLATFORM"
done < <(vms_of_kind engine)
while read -r name address pool fenced; do
  start "$name" "$BIN/python" -m nutmegpost_standins.service \
    --address="$address"
done < <(vms_of_kind service)
wait_for "http://$PLATFORM/standin/counts"

ROUTERS=()
HEALTH=()
while read -r name address _; do
  start "$name" "$BIN/nutmegpost-router" --settings="$EXAMPLE/$name.json"
  ROUTER_PIDS+=("${PIDS[-1]}")
  unset "PIDS[-1]"
  ROUTERS+=("$address")
  HEALTH+=("http://$address/v1/health")
done < <(vms_of_kind router)
wait_for "${HEALTH[@]}"
echo "$DEPLOYMENT is up: ${#ROUTERS[@]} routers, logs in $OUT"

KEY="$(key_of "$ACCOUNT")"
ADDRESSES="$(IFS=,; echo "${ROUTERS[*]}")"
STATUS=0
"$BIN/python" -m nutmegpost_standins.caller --routers="$ADDRESSES" \
  --key="$KEY" --model="$MODEL" --work_class="$CLASS" --chats=6 --turns=3 \
  --service="$SERVICE" --operation="$OPERATION" || STATUS=$?

if [ -n "$KEEP" ]; then
  ROUTER="${ROUTERS[0]}"
  cat <<TEXT

It stays up until Ctrl-C. Publish by editing $OUT/configuration.json (with a
higher version) or $OUT/vms.json. Calls to try:

  curl -H 'Authorization: Bearer $KEY' \\
    'http://$ROUTER/v1/addresses?model=$MODEL&chat=my-chat&permits=1'

  curl -N -H 'Authorization: Bearer $KEY' -H 'X-Chat-Id: my-chat' \\
    -H 'X-Class: $CLASS' http://$ROUTER/v1/chat/completions \\
    -d '{"model": "$MODEL", "stream": true, "max_tokens": 8,
         "messages": [{"role": "user", "content": "hello"}]}'

  curl -H 'Authorization: Bearer $KEY' -H 'Idempotency-Key: PERMIT' \\
    http://$ROUTER/v1/services/$SERVICE/$OPERATION -d '{"number": 1}'

  curl http://${ROUTER%:*}:20082/metrics
  curl -H 'Authorization: Bearer $DEPLOYMENT-example-admin-key' \\
    http://${ROUTER%:*}:20082/admin/status
TEXT
  wait
fi
stop
echo "all processes ended"
exit "$STATUS"
