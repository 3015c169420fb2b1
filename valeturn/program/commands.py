"""valeturn: admission and scheduling for servers behind balancers that cannot be changed.

Usage:
  valeturn
  valeturn serve [--config FILE] [--verbose]
  valeturn check [FILE]
  valeturn version
  valeturn --help

Commands:
  serve      Serve until SIGTERM, which drains. The same as no command. SIGUSR1 prints the counters.
             SIGHUP takes new addresses of executor, ledger and name service from the file.
  check      Read and check a configuration, and say in one line what is wrong with it.
  version    Print the version.

Options:
  --config FILE  The configuration; else the variable EDGE_CONFIG names it.
  --verbose      Log each answer with its call, workload, kind and time.
  -h --help      Show this.

EDGE_NAME and EDGE_LISTEN, where set, go before the configuration's name and listen.
Exit codes: 0 all well, 1 failed while serving, 2 the configuration or the command line is wrong.
"""

from __future__ import annotations

import signal
import sys

from .. import __version__
from ..transport import signals
from . import configuration, logs


def serve(path=None, verbose=False):
    from .server import Server

    signals.hold(signal.SIGHUP)  # one that comes before the server listens for it must not end the process
    c = configuration.load(path=path)
    try:
        return Server(c, logs.set_up(c.name), verbose, lambda: configuration.load(path=path)).serve()
    except OSError as error:  # the address to listen on is taken or not this machine's
        print(f"valeturn: listen: {error}", file=sys.stderr)
    return 2


def check(path=None):
    c = configuration.load(path=path)
    s = c.names.settings
    print(f"good: name={c.name} workloads={len(s.workloads)} tenants={len(s.tenants)} cores={s.cores}")
    return 0


def main(words):
    try:
        return carry_out(words)
    except configuration.Wrong as wrong:
        print(f"valeturn: {wrong}", file=sys.stderr)
        return 2


def carry_out(words):
    if not words:  # the way a platform starts it: nothing is loaded that serving does not need
        return serve()
    from docopt import DocoptExit, docopt

    try:
        given = docopt(__doc__, words)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    if given["version"]:
        print(f"valeturn {__version__}")
        return 0
    if given["check"]:
        return check(given["FILE"])
    return serve(given["--config"], given["--verbose"])
