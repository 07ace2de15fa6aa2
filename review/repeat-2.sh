#!/usr/bin/env bash
# Runs each script five times with its trouble and once without: review/repeat-2.sh [N...]
cd "$(dirname "$0")/.." || exit 2
[ $# -gt 0 ] || set -- 6 7 8 9 10
for case in "$@"; do
    [ -x "review/$case/run.sh" ] || continue
    results=()
    for _ in 1 2 3 4 5; do
        "review/$case/run.sh" >/dev/null 2>&1
        results+=("$?")
    done
    TROUBLE=0 "review/$case/run.sh" >/dev/null 2>&1
    echo "case $case: with trouble ${results[*]}, without $?"
done
