#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. record.txt has what was sent, answered and run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/cranemoor ] || { echo "target/cranemoor is not built" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 1 -s TERM 119 python3 "${VARIANT:-case}.py"
