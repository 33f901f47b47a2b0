#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for play in */play.cpp; do
  case=${play%%/*}
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istandins standins/standins.cpp "$play" -o "build/play-$case" &
done
fail=0
for job in $(jobs -p); do
  wait "$job" || fail=1
done
exit "$fail"
