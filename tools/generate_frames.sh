#!/usr/bin/env bash
# Regenerates the committed code for the frames between instances from wire.fbs. The version of flatc
# (Debian package flatbuffers-compiler) must match the installed FlatBuffers headers.
set -euo pipefail
cd "$(dirname "$0")/../bamboostream/src/Links"
flatc --cpp --gen-object-api --scoped-enums -o generated wire.fbs
