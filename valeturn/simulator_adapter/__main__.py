"""Serves the simulator's protocol on stdin and stdout until the input ends."""

import sys

from .host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
