"""Reads the command line and carries out what it asks for: serve, check, or another package's command."""

from __future__ import annotations

import importlib
import os
import sys
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from .. import __version__
from ..transport import early_signals
from . import configuration, logs
from .configuration import Configuration, ConfigurationError, OperatorFileError
from .usage import USAGE

if TYPE_CHECKING:
    from ..operator_config.schema import OperatorConfig
    from .reload import ReaderWaits
    from .test_overrides import Overrides

EXIT_OK = 0
EXIT_UNUSABLE = 2  # the configuration, the operator's file or the command line is wrong

PACKAGE = __name__.partition(".")[0]
# First word of the command line -> the module that carries it out, with run(arguments) for docopt's
# arguments. lab and fleet come first, as words behind them are first words of others too.
COMMANDS = {
    "lab": "lab.commands",
    "fleet": "cluster.commands",
    "store": "result_store.commands",
    "status": "control.commands",
    "metrics": "control.commands",
    "top": "control.commands",
    "level": "control.commands",
}
# Words behind `fleet` that are about maintenance of servers.
MAINTENANCE_WORDS = ("out", "back", "turns", "hold", "go-on")
MAINTENANCE_COMMANDS = "maintenance.commands"


def load_operator_options(
    path: str | None,
    loaded: Configuration,
    waits: ReaderWaits | None = None,
) -> OperatorConfig | None:
    """Read the operator's file, or return None where none is named; then none of its code is loaded.

    Args:
        path: The operator's file.
        loaded: The configuration that it has to fit.
        waits: How the process that reads the file is waited for; by default by blocking.

    Raises:
        OperatorFileError: The file cannot be used.
    """
    if path is None:
        return None
    from ..operator_config import loader
    from . import components

    try:
        options: OperatorConfig = loader.load_in_child_process(
            path, loaded, components.options_modules, *(waits or ())
        )
        return options
    except loader.OperatorConfigError as error:
        raise OperatorFileError(str(error)) from None


def serve(
    path: str | None = None,
    verbose: bool = False,
    settings: str | None = None,
    overrides: Overrides | None = None,
) -> int:
    """Serve until a termination signal, and return the exit code.

    Args:
        path: The configuration file; None means the one that the environment names.
        verbose: Whether each answer is logged.
        settings: The operator's file, or None.
        overrides: What the laboratory puts in place of clocks, files and connections.

    Raises:
        ConfigurationError: The configuration or the operator's file cannot be used.
    """
    early_signals.install()
    from .server import InterruptedStartError, Server

    loaded = configuration.load(path=path)
    options = load_operator_options(settings, loaded)

    def read_again(waits: ReaderWaits) -> tuple[Configuration, OperatorConfig | None]:
        fresh = configuration.load(path=path)
        return fresh, load_operator_options(settings, fresh, waits)

    try:
        server = Server(loaded, logs.set_up(loaded.name), verbose, read_again, options, overrides)
        code = server.serve()
        if server.restart_requested:
            os.execv(sys.executable, sys.orig_argv)
        early_signals.ignore()
        return code
    except InterruptedStartError:
        early_signals.ignore()
        return EXIT_OK
    except OSError as error:  # the address to listen on is taken, or not one of this machine
        print(f"valeturn: listen: {error}", file=sys.stderr)
    return EXIT_UNUSABLE


def check(path: str | None = None, settings: str | None = None) -> int:
    """Read configuration and operator's file, and print in a line each what they hold.

    Raises:
        ConfigurationError: One of them cannot be used.
    """
    loaded = configuration.load(path=path)
    options = load_operator_options(settings, loaded)
    parsed = loaded.names.settings
    print(
        f"good: name={loaded.name} workloads={len(parsed.workloads)} tenants={len(parsed.tenants)} "
        f"cores={parsed.cores}"
    )
    if options is not None:
        print(f"good: {settings}: {' '.join(sorted(options.sections)) or 'nothing is switched on'}")
    return EXIT_OK


def main(words: Sequence[str]) -> int:
    """Carry out a command line and return the exit code; what is unusable is printed, a line each."""
    try:
        return dispatch_command(words)
    except ConfigurationError as error:
        for line in str(error).splitlines():
            print(f"valeturn: {line}", file=sys.stderr)
        return EXIT_UNUSABLE


def dispatch_command(words: Sequence[str]) -> int:
    """Carry out a command line and return the exit code.

    Raises:
        ConfigurationError: The configuration or the operator's file cannot be used.
    """
    if not words:  # the way a platform starts it: nothing is loaded that serving does not need
        return serve()
    from docopt import DocoptExit, docopt

    try:
        arguments = docopt(USAGE, list(words))
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return EXIT_UNUSABLE
    if arguments["version"]:
        print(f"valeturn {__version__}")
        return EXIT_OK
    if arguments["check"]:
        return check(arguments["FILE"], arguments["--settings"])
    module = module_of(arguments)
    if module is not None:
        code: int = importlib.import_module(f"{PACKAGE}.{module}").run(arguments)
        return code
    return serve(arguments["--config"], arguments["--verbose"], arguments["--settings"])


def module_of(arguments: Mapping[str, Any]) -> str | None:
    """Return the module that carries out another package's command, or None where serving is asked for."""
    for word, module in COMMANDS.items():
        if arguments[word]:
            if word == "fleet" and any(arguments[one] for one in MAINTENANCE_WORDS):
                return MAINTENANCE_COMMANDS
            return module
    return None
