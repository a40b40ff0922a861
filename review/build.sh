#!/bin/sh
# Builds what the cases start beside the program: stand-ins in Python, with the standard library
# alone. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
