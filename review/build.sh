#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python files that need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX
PYTHONPYCACHEPREFIX="$(mktemp -d)"
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q harness ./*/case.py
