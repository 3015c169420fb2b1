#!/bin/sh
# Builds the stand-ins of the cases: plain Python, run by the .venv that the deploy file's build leaves.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review examples
