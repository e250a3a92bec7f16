#!/usr/bin/env bash
# The stand-ins of the scripts are Python 3 with its standard library: nothing to build. Checks
# that they can be read.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import ast, glob, tomllib
for path in glob.glob("lib/*.py") + glob.glob("[0-9]/*.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)
'
