#!/bin/sh
# Builds what the scripts of review/9 to review/13 start, without a network: the programs of the
# deploy file. The stand-ins are one file in Python 3 without libraries; it is only checked here.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p winghold-platform
python3 -c '
import glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later"
for path in ["review/lib-3/fleet.py"] + glob.glob("review/[0-9]*/case.py"):
    compile(open(path).read(), path, "exec")
'
