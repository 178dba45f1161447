#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out; the rule must hold then.
export TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -x "$root/target/release/sassafrashoist" ] && [ -x "$root/target/review-2/roll" ] || exit 2
"$root/target/review-2/roll" "$root" "$here/record.txt"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
