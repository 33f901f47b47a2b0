#!/usr/bin/env bash
# Compares the routing and admission policies: tools/bench.sh [--seeds N] [--json FILE] [--plots DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh policy-bench >/dev/null
exec "${BUILD_DIR:-build}/bin/policy-bench" "$@"
