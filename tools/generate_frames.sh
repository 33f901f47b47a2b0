#!/usr/bin/env bash
# Makes the committed code for the frames between instances anew from wire.fbs. Needs flatc
# (Debian package flatbuffers-compiler) of the version of the headers.
set -euo pipefail
cd "$(dirname "$0")/../bamboostream/src/Links"
flatc --cpp --gen-object-api --scoped-enums -o generated wire.fbs
