#!/bin/sh
# The stand-ins of the scripts are Python files that use the standard library only, so nothing has
# to be compiled. Checks that an interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "error: python3 is missing" >&2; exit 1; }
for file in standins.py */run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
