#!/usr/bin/env bash
# Installs the required packages, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh
build=${BUILD_DIR:-build}
exec tools/run_tests.sh "$build"
