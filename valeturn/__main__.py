"""The command line: `python -m valeturn` serves, `python -m valeturn --help` lists all commands."""

import sys

from .transport import early_signals

if sys.argv[1:2] in ([], ["serve"]):  # a termination signal may be received during the imports
    early_signals.install()

from .server.commands import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
