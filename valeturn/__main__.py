"""The real server: `python -m valeturn` serves; `python -m valeturn --help` tells what else there is."""

import sys

from .transport import early_signals

if sys.argv[1:2] in ([], ["serve"]):  # a notice may come while the rest is loaded
    early_signals.install()

from .server.commands import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
