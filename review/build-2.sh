#!/usr/bin/env bash
# Checks the stand-ins of review/6 to review/10. They are Python scripts that use the standard library only, so there is
# nothing to compile; the gateway itself is built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lab-2/lab.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
