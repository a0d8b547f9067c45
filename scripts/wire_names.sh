#!/usr/bin/env bash
# Fails when the sources outside platform/ contain a name that belongs to the users' platform.
# Usage: scripts/wire_names.sh [DIR]
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"

names='cowslippier-(attempt|deadline|expect|server|token|tenant|model|prompt|not-exec|instance|cold|request-prio|weight|length|pin|hold|kv)'
names="$names|COWSLIPPIER_NODE_FILE|/-/(rows|blob|order|report|readyz|kv|hold)|kv-(from|fetch)|\"api-key\""
names="$names|\"(hostname|resumable|max_attempts|slo_ms|gap_target_ms|cold_left_ms|max_adapters|load_rate_s|api_keys|precondition)\""
files=$(find crates -name '*.rs' 2>/dev/null || true)
[ -n "$files" ] || { echo "no Rust sources in $PWD/crates" >&2; exit 2; }
if grep -nEi "$names" $files; then
    echo "names of the platform found outside platform/" >&2
    exit 1
fi
