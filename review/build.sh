#!/bin/sh
# Prepares the stand-ins of all cases. They are Python and need nothing but the standard library.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
