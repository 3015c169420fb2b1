import sys

from .host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
