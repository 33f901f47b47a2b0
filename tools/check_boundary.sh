#!/usr/bin/env bash
# Fails if a header or field name of the users' platform occurs outside platform/ and its tests. All
# other code uses the names of this project and is independent of that platform.
set -euo pipefail
cd "$(dirname "$0")/.."
names='"Resumes"|Response-Seal|Attempt-Id|Not-Executed|Kv-From|Kv-Backup|Kv-Fetch|kv-move|kv-handle|Prompt-Prefix'
names+='|Token-Count|Length-Hint|Deadline-Ms|Expected-Instance|Replica-Load|Replica-Id|Request-Priority'
names+='|log-append|log-read|log-newest|keyed\.(op|servers|status)|gap_slo_ms|slo_ms|traffic_split'
names+='|api_keys|kv_tokens|kv_bytes|cold_left_ms|path_prefix"|BAMBOOSTREAM_SETTINGS|listen\.front'
if git grep -nIE "$names" -- 'bamboostream/*' 'programs/*' 'standins/*' 'bench/*' 'test/*' 'failtest/*' \
  ':!test/platform/*'; then
  echo "boundary: names of the platform outside platform/" >&2
  exit 1
fi
echo "boundary: clean"
