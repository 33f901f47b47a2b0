#!/usr/bin/env bash
# Starts a complete deployment as separate processes, sends a burst of generations and service calls
# through it, prints a table of results and stops all processes. The exit code is 0 if all guarantees
# held.
#
# Usage: tools/try.sh [--registry|--consortium] [--generations N] [--instances N] [--engines N]
set -euo pipefail
cd "$(dirname "$0")/.."
generations=400 calls=60 instances=3 engines=3 services=2 example=registry scenario=rush seed=1
window=10000
while [ $# -gt 0 ]; do
  case "$1" in
    --registry) example=registry ;;
    --consortium) example=consortium ;;
    --generations) generations=$2; shift ;;
    --calls) calls=$2; shift ;;
    --instances) instances=$2; shift ;;
    --engines) engines=$2; shift ;;
    --scenario) scenario=$2; shift ;;
    --window-ms) window=$2; shift ;;
    --seed) seed=$2; shift ;;
    *) echo "unknown option: $1" >&2; exit 2 ;;
  esac
  shift
done
tools/install_packages.sh
tools/build.sh >/dev/null
bin=${BUILD_DIR:-build}/bin
if [ "$example" = registry ]; then
  pool=drafting service=registry operation=transfer domains=(norra hamnen verket)
  workspaces=desk:desk-demo-key:2:2,traders:traders-demo-key:1:1,producers:producers-demo-key:1:1
else
  pool=reading service=mailbox operation=confirm domains=(heredia cartago alajuela sanjose)
  workspaces=heredia:heredia-demo-key,cartago:cartago-demo-key,alajuela:alajuela-demo-key
  workspaces=$workspaces,sanjose:sanjose-demo-key:2:2
fi
run=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ -n "${KEEP_LOGS:-}" ] && echo "logs in $run" >&2 || rm -rf "$run"
}
trap stop EXIT
start() { # name program arguments…
  local name=$1; shift
  "$bin/$1" "${@:2}" --announce-file "$run/$name" >"$run/$name.log" 2>&1 &
  pids+=($!)
}
address() { # name [line]
  for _ in $(seq 200); do [ -s "$run/$1" ] && { sed -n "${2:-1}p" "$run/$1"; return; }; sleep 0.05; done
  echo "$1 did not start:" >&2; cat "$run/$1.log" >&2; exit 1
}
register() { # address kind group domain
  curl -sf -X POST "http://$platform/control/instances" -o /dev/null -d \
    "{\"address\":\"$1\",\"kind\":\"$2\",\"group\":\"$3\",\"failure_domain\":\"$4\",\"state\":\"live\"}"
}
start log standin-log
start platform standin-platform
log=$(address log) platform=$(address platform)
engine_list=() service_list=() entry_list=() operator_list=()
for i in $(seq "$engines"); do start "engine$i" standin-engine --seed "$seed"; done
for i in $(seq "$services"); do start "service$i" standin-service; done
for i in $(seq "$instances"); do
  start "instance$i" bamboostreamd --log "$log" --platform "$platform" \
    --failure-domain "${domains[$((i % ${#domains[@]}))]}"
done
for i in $(seq "$engines"); do
  a=$(address "engine$i"); engine_list+=("$a"); register "$a" engine $pool "${domains[$((i % ${#domains[@]}))]}"
done
for i in $(seq "$services"); do
  a=$(address "service$i"); service_list+=("$a"); register "$a" service $service "${domains[$((i % ${#domains[@]}))]}"
done
for i in $(seq "$instances"); do
  entry_list+=("$(address "instance$i" 1)"); operator_list+=("$(address "instance$i" 2)")
  register "$(address "instance$i" 3)" instance "" "${domains[$((i % ${#domains[@]}))]}"
done
join() { local IFS=,; echo "$*"; }
operators=$(join "${operator_list[@]}")
"$bin/bamboostreamctl" --operators "$operators" config submit "examples/$example.json"
sleep 3 # until the instances have discovered each other and the backend servers
version=$("$bin/bamboostreamctl" --operators "$operators" config show | sed 's/[^0-9]*\([0-9]*\).*/\1/')
"$bin/bamboostreamctl" --operators "$operators" config wait "$version"
"$bin/bamboostream-load" --entries "$(join "${entry_list[@]}")" --workspaces "$workspaces" \
  --scenario "$scenario" --generations "$generations" --service-calls "$calls" --seed "$seed" \
  --window-ms "$window" --service $service --operation $operation \
  --engine-journals "$(join "${engine_list[@]}")" \
  --service-journals "$(join "${service_list[@]}")" --json "${JSON_FILE:-$run/figures.json}"
