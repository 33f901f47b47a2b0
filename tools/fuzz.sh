#!/usr/bin/env bash
# Builds the fuzz target with clang's libFuzzer and sanitizers and runs it for a limited time, 15
# seconds by default: tools/fuzz.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-15}
work=${BUILD_DIR:-build}/fuzz
mkdir -p "$work/corpus"
sources=(test/fuzz/input_fuzz.cpp test/platform/fuzz/record_inputs.cpp bamboostream/src/{Configuration,Ledger}/*.cpp
  bamboostream/src/Core/{digest,assert}.cpp
  bamboostream/src/Contracts/{json_reader,bounded_number,engine_event}.cpp platform/platform_record_codec.cpp
  bamboostream/src/Routing/objective.cpp bamboostream/src/Streams/resume_handle.cpp
  bamboostream/src/Links/frame_codec.cpp bamboostream/src/Http/server_sent_events.cpp)
if [ ! -x "$work/input_fuzz" ] || [ -n "$(find "${sources[@]}" -newer "$work/input_fuzz")" ]; then
  printf '%s\n' "${sources[@]}" |
    xargs -P "$(nproc)" -I{} sh -c 'clang++ -std=c++20 -O1 -g -fsanitize=fuzzer-no-link,address,undefined \
      -DBAMBOOSTREAM_VERSION=\"fuzz\" \
      -I. -c {} -o '"$work"'/$(echo {} | tr / _).o'
  clang++ -fsanitize=fuzzer,address,undefined "$work"/*.o -lboost_json -lboost_container -lfmt -lcrypto -lzstd \
    -lpthread -o "$work/input_fuzz"
fi
"$work/input_fuzz" -max_total_time="$seconds" -max_len=4096 -seed=1 -verbosity=0 "$work/corpus"
echo "fuzzing: nothing found in $seconds s"
