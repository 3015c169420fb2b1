"""`valeturn status|metrics|top|level ...`: what is asked of running servers by their control sockets."""

from __future__ import annotations

import sys

from ..operator_config.value_types import InvalidValueError, Quantity
from . import client
from .requests import LONGEST_HOLD


def run(given):
    """The exit code for docopt's words."""
    paths = given["SOCKET"]
    if given["status"]:
        return client.status(paths, given["--json"])
    if given["metrics"]:
        return client.metrics(paths[0])
    if given["top"]:
        from .top import main as top

        return top(paths)
    if given["free"]:
        return client.level(paths, None, 0.0)
    try:
        seconds = Quantity("a time", 0.1, LONGEST_HOLD).read(given["--for"])
    except InvalidValueError as error:
        print(f"valeturn: --for {error.text}", file=sys.stderr)
        return 2
    return client.level(paths, given["NAME"], seconds)
