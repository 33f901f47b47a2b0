#!/usr/bin/env bash
# Runs the fault tests repeatedly: tools/soak.sh --seeds N --minutes M [--filter GTEST_FILTER]
# Every run draws new keys and therefore other output lengths, home instances and owners. Stops at the
# first failure.
# With --gateway A-B it injects overlapping faults into real gateways instead, with the seeds A to B,
# each for --length S seconds. A failing seed is printed with its steps, and its logs are kept.
set -euo pipefail
cd "$(dirname "$0")/.."
gateway='' length=8
seeds=10 minutes=10 filter='*fault*:*race*:*leaving_test*:shutdown_test*:stream_attach_test*'
while [ $# -gt 0 ]; do
  case "$1" in
    --seeds) seeds=$2 ;;
    --minutes) minutes=$2 ;;
    --filter) filter=$2 ;;
    --gateway) gateway=$2 ;;
    --length) length=$2 ;;
    *) echo "unknown option: $1" >&2; exit 2 ;;
  esac
  shift 2
done
if [ -n "$gateway" ]; then
  shards=()
  for shard in 0 1 2 3; do
    SOAK_SEEDS=$gateway SOAK_SECONDS=$length GTEST_TOTAL_SHARDS=4 GTEST_SHARD_INDEX=$shard \
      "${BUILD_DIR:-build}/bin/system_tests" --gtest_filter='*soak_test*' \
      >"/tmp/soak-$$-$shard.log" 2>&1 &
    shards+=($!)
  done
  ok=1
  for pid in "${shards[@]}"; do wait "$pid" || ok=0; done
  grep -hE '^answered|FAILED|Failure|logs in' /tmp/soak-$$-*.log | sort | uniq -c
  if [ "$ok" = 0 ]; then
    echo "a seed failed: /tmp/soak-$$-*.log"
    exit 1
  fi
  rm -f /tmp/soak-$$-*
  exit 0
fi
until=$(( $(date +%s) + minutes * 60 ))
done_runs=0
for seed in $(seq "$seeds"); do
  [ "$(date +%s)" -ge "$until" ] && break
  shards=()
  for shard in 0 1 2 3; do
    GTEST_TOTAL_SHARDS=4 GTEST_SHARD_INDEX=$shard "${BUILD_DIR:-build}/bin/system_tests" \
      --gtest_filter="$filter" --gtest_random_seed="$seed" --gtest_shuffle \
      >"/tmp/soak-$$-$shard.log" 2>&1 &
    shards+=($!)
  done
  ok=1
  for pid in "${shards[@]}"; do wait "$pid" || ok=0; done
  if [ "$ok" = 0 ]; then
    grep -hE 'FAILED|Failure' /tmp/soak-$$-*.log | sort -u
    echo "run $seed failed after $done_runs good ones"
    rm -f /tmp/soak-$$-*; exit 1
  fi
  done_runs=$((done_runs + 1))
  echo "run $seed of $seeds: all rows good"
done
rm -f /tmp/soak-$$-*
echo "$done_runs runs, none failed"
