#!/usr/bin/env bash
# Builds what the scripts of the third review start beside target/bin/snipeshore-host. Their stand-ins are
# Python programs of this folder, which need no build: they are only checked. No package is needed beside
# python3.
set -euo pipefail
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile standins-3/*.py $(ls 1[1-5]/case.py 2>/dev/null)
