#!/usr/bin/env bash
# Builds what the scripts of the third review start beside target/bin/snipeshore-host. Their stand-ins are
# Python programs (the second review's, with additions), which need no build: they are only checked. No package
# is needed beside python3, and no network.
set -euo pipefail
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile standins-2/fleet.py standins-3/runner.py \
  12/case.py 13/case.py 14/case.py
