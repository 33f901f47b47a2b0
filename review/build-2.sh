#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into review/build-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
jobs=()
for case in 6 7 8 9 10; do
  [ -f "$case/play.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istandins-2 "$case/play.cpp" -o "build-2/play-$case" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
