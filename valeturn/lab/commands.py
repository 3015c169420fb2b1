"""`valeturn lab ...`: each subcommand ends with one line of figures, and with 1 where a rule was broken."""

from __future__ import annotations

import sys


def number(given, name):
    try:
        return int(given[name])
    except ValueError:
        raise SystemExit(f"valeturn: {name} wants a whole number, has {given[name]!r}") from None


def main(given):
    if given["restarts"]:
        from .restarts import main as restarts

        return restarts(
            number(given, "--kills"), number(given, "--seed"), number(given, "--lanes"), given["--keep"]
        )
    if given["levels"]:
        from .levels import SHAPES
        from .levels import main as levels

        first, shape = number(given, "--seed"), given["--shape"]
        if shape not in SHAPES:
            raise SystemExit(f"valeturn: --shape wants one of {', '.join(SHAPES)}, has {shape!r}")
        seeds = range(first, first + max(1, number(given, "--seeds")))
        return levels(
            shape,
            number(given, "--minutes"),
            number(given, "--servers"),
            seeds,
            given["--report"],
            sys.stdout,
        )
    from .storebench import main as store

    return store(number(given, "--keys"), given["--folder"], sys.stdout)
