#!/usr/bin/env bash
# Measures the costs from which the figures in docs/CAPACITY.md are derived: the decision objects in
# one process, and token streams through one instance compared with a plain TCP relay.
#
# Usage: tools/capacity.sh [--out DIR]
# Writes DIR/decisions.json and DIR/streams.json, and the printed tables as .txt files beside them.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/capacity
[ "${1:-}" = --out ] && out=$2
tools/install_packages.sh
tools/build.sh >/dev/null
bin=${BUILD_DIR:-build}/bin
mkdir -p "$out"
[ -n "${SKIP_DECISIONS:-}" ] || "$bin/decision-bench" --json "$out/decisions.json" | tee "$out/decisions.txt"
run=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap stop EXIT
address() { for _ in $(seq 200); do [ -s "$run/$1" ] && { sed -n "${2:-1}p" "$run/$1"; return; }; sleep 0.05; done; exit 1; }
"$bin/standin-log" --announce-file "$run/log" >/dev/null 2>&1 & pids+=($!)
"$bin/standin-platform" --announce-file "$run/platform" >/dev/null 2>&1 & pids+=($!)
"$bin/bamboostreamd" --log "$(address log)" --platform "$(address platform)" --threads 1 \
  --announce-file "$run/instance" >/dev/null 2>&1 & pids+=($!); daemon=$!
# stream-bench simulates the engine. The relay needs its address first, so a free port is chosen here.
engine=127.0.0.1:$(python3 -c 'import socket; s=socket.socket(); s.bind(("127.0.0.1",0)); print(s.getsockname()[1])')
"$bin/fault-proxy" --target "$engine" --announce-file "$run/relay_control" \
  --proxy-announce-file "$run/relay" >/dev/null 2>&1 & pids+=($!); relay=$!
"$bin/stream-bench" --platform "$(address platform)" --operators "$(address instance 2)" \
  --callers "$(address instance 1)" --relay "$(address relay)" --daemon-pid "$daemon" \
  --relay-pid "$relay" --phase-ms 3000 --engine-listen "$engine" --announce-file "$run/bench" \
  --json "$out/streams.json" | tee "$out/streams.txt"
