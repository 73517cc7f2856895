#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python and need no build; this checks that they can run.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py */play.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
