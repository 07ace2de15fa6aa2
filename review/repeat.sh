#!/usr/bin/env bash
# Runs a case's script several times: review/repeat.sh N [TIMES]
cd "$(dirname "$0")/$1" || exit 2
for _ in $(seq "${2:-5}"); do
    ./run.sh 2>/dev/null
    echo "exit $?"
done
