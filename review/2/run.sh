#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")" && exec python3 run.py
