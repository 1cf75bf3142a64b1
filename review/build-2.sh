#!/bin/sh
# Checks what the scripts of cases 6 to 10 need: the daemon, which the build of
# the deploy file has made, and Python 3 with its standard library, which the
# project's own checks need too. The stand-ins are Python and need no build.
set -eu
cd "$(dirname "$0")/.."
test -x target/chestnutgapd
python3 -B - <<'EOF'
import asyncio
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in ["review/standin2/standins.py"] + glob.glob("review/*/case.py"):
    with open(path) as source:
        compile(source.read(), path, "exec")
EOF
echo "review: the stand-ins are ready"
