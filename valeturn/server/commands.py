"""Parses the command line and runs its command: serve, check, or a command of another package."""

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
# First word of the command line -> the module whose run(arguments) carries the command out; `arguments` is
# what docopt returned. lab and fleet are looked up first: `lab store` and `fleet status` also contain the
# first words of other commands.
COMMANDS = {
    "lab": "lab.commands",
    "fleet": "cluster.commands",
    "store": "result_store.commands",
    "status": "control.commands",
    "metrics": "control.commands",
    "top": "control.commands",
    "level": "control.commands",
}
# Subcommands of `fleet` that are about the maintenance of servers.
MAINTENANCE_SUBCOMMANDS = ("out", "back", "turns", "hold", "go-on")
MAINTENANCE_COMMANDS = "maintenance.commands"


def load_operator_options(
    path: str | None,
    current: Configuration,
    reader_waits: ReaderWaits | None = None,
) -> OperatorConfig | None:
    """Return the options of the operator's file, or None if no file is named.

    Without a file, the code that reads it is not imported.

    Args:
        path: The operator's file, or None.
        current: The configuration that the options must be compatible with.
        reader_waits: How to wait for the process that reads the file; None blocks.

    Raises:
        OperatorFileError: The file cannot be used.
    """
    if path is None:
        return None
    from ..operator_config import loader
    from . import components

    try:
        options: OperatorConfig = loader.load_in_child_process(
            path, current, components.options_modules, *(reader_waits or ())
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
    """Serve until a termination signal is received; return the exit code.

    The process replaces itself with a new one instead of returning if maintenance asked for a restart.

    Args:
        path: The configuration file; None means the one that EDGE_CONFIG names.
        verbose: Whether each answer is logged.
        settings: The operator's file, or None.
        overrides: Replacements for clocks, files and connections, for tests and the laboratory.

    Raises:
        ConfigurationError: The configuration or the operator's file cannot be used.
    """
    early_signals.install()
    from .server import InterruptedStartError, Server

    initial = configuration.load(path=path)
    options = load_operator_options(settings, initial)

    def read_again(reader_waits: ReaderWaits) -> tuple[Configuration, OperatorConfig | None]:
        reloaded = configuration.load(path=path)
        return reloaded, load_operator_options(settings, reloaded, reader_waits)

    try:
        server = Server(initial, logs.set_up(initial.name), verbose, read_again, options, overrides)
        exit_code = server.serve()
        if server.restart_requested:
            os.execv(sys.executable, sys.orig_argv)
        early_signals.ignore()
        return exit_code
    except InterruptedStartError:
        early_signals.ignore()
        return EXIT_OK
    except OSError as error:  # the address to listen on is in use, or not one of this machine
        print(f"valeturn: listen: {error}", file=sys.stderr)
    return EXIT_UNUSABLE


def check(path: str | None = None, settings: str | None = None) -> int:
    """Check the configuration and the operator's file and print one line about each; return the exit code.

    Args:
        path: The configuration file; None means the one that EDGE_CONFIG names.
        settings: The operator's file, or None.

    Raises:
        ConfigurationError: One of them cannot be used.
    """
    checked = configuration.load(path=path)
    options = load_operator_options(settings, checked)
    parsed = checked.names.settings
    print(
        f"good: name={checked.name} workloads={len(parsed.workloads)} tenants={len(parsed.tenants)} "
        f"cores={parsed.cores}"
    )
    if options is not None:
        print(f"good: {settings}: {' '.join(sorted(options.sections)) or 'no sections'}")
    return EXIT_OK


def main(words: Sequence[str]) -> int:
    """Run a command line and return the exit code; configuration errors are printed, one line each."""
    try:
        return dispatch_command(words)
    except ConfigurationError as error:
        for line in str(error).splitlines():
            print(f"valeturn: {line}", file=sys.stderr)
        return EXIT_UNUSABLE


def dispatch_command(words: Sequence[str]) -> int:
    """Run a command line and return the exit code.

    Raises:
        ConfigurationError: The configuration or the operator's file cannot be used.
    """
    if not words:  # as a platform starts it: nothing is imported that serving does not need
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
        exit_code: int = importlib.import_module(f"{PACKAGE}.{module}").run(arguments)
        return exit_code
    return serve(arguments["--config"], arguments["--verbose"], arguments["--settings"])


def module_of(arguments: Mapping[str, Any]) -> str | None:
    """Return the module, relative to the package, that runs the command; None if the command is to serve."""
    for word, module in COMMANDS.items():
        if arguments[word]:
            if word == "fleet" and any(arguments[subcommand] for subcommand in MAINTENANCE_SUBCOMMANDS):
                return MAINTENANCE_COMMANDS
            return module
    return None
