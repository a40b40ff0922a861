#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file. The stand-ins are Python
# files that need the standard library alone, so they are only compiled. Case 10 gives the gateways
# an operator file, for which they need what requirements-operator.txt names; without that the other
# cases run all the same, and case 10 exits with 2.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q corkgauge review/standins_2.py review/6 review/7 review/8 review/9 review/10
.venv/bin/pip -q install --disable-pip-version-check -r requirements-operator.txt ||
    echo "review/build-2.sh: requirements-operator.txt is not installed, case 10 cannot run" >&2
