#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays the
# same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
finish() {
    if [ -f "$folder/pids" ]; then
        while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
timeout 100 target/review-3/driver left-server review/13/record.txt "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
