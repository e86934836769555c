#!/usr/bin/env bash
# Build the stand-ins of the second review: Python files without dependencies
# beyond those of the deploy file, which are compiled. A script also starts the
# project's own store stand-in.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q \
    review/stand_ins_2 review/[0-9]* testing/stand_ins
PYTHONPATH=target/deps:. python3 -c 'import review.stand_ins_2.deployment'
