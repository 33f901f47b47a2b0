#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case=$(basename "$here")
[ -x "review/build/play-$case" ] || { echo "run review/build.sh first"; exit 2; }
exec "review/build/play-$case" "$here"
