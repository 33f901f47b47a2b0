#!/usr/bin/env bash
# Tests the operators' console in headless Chromium. Not part of CI, because it installs a browser.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x /usr/bin/chromedriver ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq chromium chromium-driver >/dev/null
fi
tools/build.sh >/dev/null
bin=${BUILD_DIR:-build}/bin
run=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap stop EXIT
address() { for _ in $(seq 200); do [ -s "$run/$1" ] && { sed -n "${2:-1}p" "$run/$1"; return; }; sleep 0.05; done; exit 1; }
"$bin/standin-log" --announce-file "$run/log" >/dev/null 2>&1 & pids+=($!)
"$bin/standin-platform" --announce-file "$run/platform" >/dev/null 2>&1 & pids+=($!)
"$bin/bamboostreamd" --log "$(address log)" --platform "$(address platform)" \
  --announce-file "$run/instance" >/dev/null 2>&1 & pids+=($!)
operators=$(address instance 2)
"$bin/bamboostreamctl" --operators "$operators" config submit examples/registry.json
python3 test/console/console_test.py "$operators"
