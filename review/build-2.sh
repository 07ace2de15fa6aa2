#!/usr/bin/env bash
# Puts the stand-ins of the second review into target/review-2. They need no library but those that
# the build of the deploy file puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/standins-2/*.py target/review-2/
PYTHONPATH=target/deps:target/review-2 python3 -c "import site_of_review"
