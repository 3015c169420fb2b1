"""The commands `valeturn status`, `metrics`, `top` and `level`, which query and control running servers."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any

from ..operator_config.value_types import InvalidValueError, Quantity
from . import client
from .requests import MAX_LEVEL_HOLD_S

MIN_LEVEL_HOLD_S = 0.1  # a shorter hold would be over before anyone sees it
EXIT_USAGE = 2  # the command line is wrong


def run(arguments: Mapping[str, Any]) -> int:
    """Carry out a command and return its exit code.

    Args:
        arguments: The parsed command line, as docopt returns it.
    """
    paths = arguments["SOCKET"]
    if arguments["status"]:
        return client.print_status(paths, arguments["--json"])
    if arguments["metrics"]:
        return client.print_metrics(paths[0])
    if arguments["top"]:
        from . import top  # imported here, because textual is an optional dependency

        return top.run(paths)
    if arguments["free"]:
        return client.release_level(paths)
    try:
        seconds = Quantity("a time", MIN_LEVEL_HOLD_S, MAX_LEVEL_HOLD_S).read(arguments["--for"])
    except InvalidValueError as error:
        print(f"valeturn: --for {error.text}", file=sys.stderr)
        return EXIT_USAGE
    return client.hold_level(paths, arguments["NAME"], seconds)
