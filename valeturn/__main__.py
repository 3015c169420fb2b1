"""The real server: `python -m valeturn` serves; `python -m valeturn --help` tells what else there is."""

import sys

from .program.commands import main

sys.exit(main(sys.argv[1:]))
