"""The real server: `python -m valeturn` serves; `python -m valeturn --help` tells what else there is."""

import sys

from .transport import held

if sys.argv[1:2] in ([], ["serve"]):  # a notice may come while the rest is loaded
    held.hold()

from .program.commands import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
