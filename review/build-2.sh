#!/bin/sh
# Builds what the scripts of the second review start beside the server: stand-ins in Python, compiled here. They
# need the standard library alone. Run after the build of deploy/balancer.toml, whose .venv they use.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/support_2.py review/6 review/7 review/8 review/9 review/10
