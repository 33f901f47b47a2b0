#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Requires root, unless all of them are
# installed already.
set -euo pipefail
packages=(g++ cmake ninja-build curl python3 libboost1.81-dev libboost-json1.81-dev
  libflatbuffers-dev libfmt-dev libcli11-dev libxxhash-dev libzstd-dev libssl-dev libgtest-dev
  librapidcheck-dev libbenchmark-dev clang-format clang-tidy clang)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}" >/dev/null
fi
