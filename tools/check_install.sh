#!/usr/bin/env bash
# Installs a build into a temporary directory, then builds and runs an example against the installed
# package: tools/check_install.sh BUILD_DIR
set -euo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/installed" >/dev/null
mkdir "$work/user"
cp docs/examples/hold_back.cpp "$work/user/"
cat > "$work/user/CMakeLists.txt" <<'C'
cmake_minimum_required(VERSION 3.25)
project(user LANGUAGES CXX)
set(CMAKE_CXX_STANDARD 20)
find_package(bamboostream REQUIRED)
add_executable(user hold_back.cpp)
target_link_libraries(user PRIVATE bamboostream::bamboostream)
C
cmake -S "$work/user" -B "$work/user/build" -G Ninja -DCMAKE_PREFIX_PATH="$work/installed" >/dev/null
ninja -C "$work/user/build" >/dev/null
"$work/user/build/user"
