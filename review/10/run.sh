#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case=target/review-2/case-$(basename "$here")
[ -x "$case" ] && [ -x target/hingespan-gateway ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
RECORD="$here/record.txt" timeout 115 "$case"
code=$?
[ "$code" -le 2 ] || code=2
tail -3 "$here/record.txt"
exit "$code"
