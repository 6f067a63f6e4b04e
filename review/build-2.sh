#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python with
# the standard library alone and run from source; compiling them shows that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q rig2.py 6 7 8 9 10
