#!/usr/bin/env bash
# Build the stand-ins: Python files without dependencies, which are compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins [1-5]
