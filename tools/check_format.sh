#!/usr/bin/env bash
# Fails if a source file is not formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v _generated | xargs clang-format --dry-run -Werror
echo "formatter: clean"
