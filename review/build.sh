#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain Python of the standard library, so this only
# compiles them; it needs no network and writes under target/ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for file in review/standins/*.py review/*/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins compile" >target/review/built
