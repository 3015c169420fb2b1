"""Conditions of a level: `calls.latency > 3 x usual for 2 s`, joined by `and` or `or`, read by a grammar.

A comparison's value has the unit of its signal, and one of another kind is named, as 2.5 ms for 2.5 s is.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

from ..operator_config.value_types import UNITS_BY_DIMENSION, InvalidValueError

# Signal -> the family of its unit, and the most that it can be. What it is made of stands in signals.py.
SIGNALS = {
    "calls.latency": ("a time", 3600.0),
    "calls.failing": ("a share", 1.0),
    "cores.busy": ("a share", 1.0),
    "unread.wait": ("a time", 3600.0),
    "memory": ("a share", 1.0),
    "turned_back": ("a share", 1.0),
}
LONGEST = 600.0  # s that a condition may have to hold: past ten minutes it is a matter for people

GRAMMAR = r"""
    any: all ("or" all)*
    all: one ("and" one)*
    one: SIGNAL COMPARED value lasting?
    value: NUMBER UNIT? -> plain
         | NUMBER "x" "usual" -> usual
    lasting: "for" NUMBER UNIT
    SIGNAL: /[a-z][a-z_]*(\.[a-z_]+)?/
    COMPARED: ">" | "<"
    NUMBER: /\d+(\.\d*)?|\.\d+/
    UNIT: /%|(?!(and|or|for|x)\b)\/?[A-Za-z]+/
    %ignore /[ \t]+/
"""


class One(NamedTuple):
    """A comparison; `usual` means that the value counts times the signal's usual one."""

    signal: str
    above: bool
    value: float
    usual: bool
    lasting: float  # s for which it must hold

    def holds(self, read, usual):
        """True, False, or None where the signal is missing or old, or its usual value is not known yet."""
        now, most = read.get(self.signal), self.value
        if self.usual:
            before = usual.get(self.signal)
            most = None if before is None else self.value * before
        if now is None or most is None:
            return None
        return now > most if self.above else now < most

    def __str__(self):
        family = SIGNALS[self.signal][0]
        text = (
            f"{self.value:g} x usual"
            if self.usual
            else (f"{100 * self.value:g} %" if family == "a share" else f"{self.value:g} s")
        )
        return f"{self.signal} {'>' if self.above else '<'} {text}" + (
            f" for {self.lasting:g} s" if self.lasting else ""
        )


class Condition(NamedTuple):
    """Any of some rows of comparisons that must all hold."""

    rows: tuple

    def ones(self):
        return [one for row in self.rows for one in row]

    def __str__(self):
        return " or ".join(" and ".join(map(str, row)) for row in self.rows)


@functools.cache
def _parser():
    from lark import Lark

    return Lark(GRAMMAR, start="any", parser="lalr")


def _with_unit(number, unit, family, what):
    units = UNITS_BY_DIMENSION[family]
    if unit is None:
        raise InvalidValueError(
            "missing-unit", f"{what}: wants {family} with its unit ({', '.join(units)}), has {number}"
        )
    if unit not in units:
        other = next((name for name, known in UNITS_BY_DIMENSION.items() if unit in known), "no unit")
        raise InvalidValueError(
            "wrong-unit", f"{what}: wants {family} ({', '.join(units)}), has {number} {unit}, {other}"
        )
    return float(number) * units[unit]


def _one(tree):
    signal, compared, value, *lasting = tree.children
    signal = str(signal)
    if signal not in SIGNALS:
        raise InvalidValueError("unknown-signal", f"{signal}; known: {', '.join(SIGNALS)}")
    family, most = SIGNALS[signal]
    if value.data == "usual":
        if family != "a time":
            raise InvalidValueError("no-usual", f"{signal} is a share: it has no usual value")
        number = float(value.children[0])
        if number <= 0:
            raise InvalidValueError("out-of-range", f"{signal}: {number:g} x usual is never passed")
    else:
        words = [str(token) for token in value.children]
        number = _with_unit(words[0], words[1] if len(words) > 1 else None, family, signal)
        if not 0 <= number <= most or compared == ">" and number >= most or compared == "<" and number <= 0:
            raise InvalidValueError("never-holds", f"{signal} {compared} {' '.join(words)} can never hold")
    seconds = 0.0
    if lasting:
        words = [str(token) for token in lasting[0].children]
        seconds = _with_unit(words[0], words[1], "a time", "for")
        if seconds > LONGEST:
            raise InvalidValueError("out-of-range", f"for {seconds:g} s is over {LONGEST:g} s")
    return One(signal, compared == ">", number, value.data == "usual", seconds)


class Kind(NamedTuple):
    """The kind of value for the operator's file."""

    def read(self, text):
        from lark.exceptions import UnexpectedInput

        try:
            tree = _parser().parse(text)
        except UnexpectedInput as error:
            at = getattr(error, "column", 0)
            raise InvalidValueError(
                "unreadable-condition",
                "wants SIGNAL > VALUE for TIME, joined by and / or; not read "
                f"from character {max(1, at)} of {text!r}",
            ) from None
        return Condition(tuple(tuple(_one(one) for one in row.children) for row in tree.children))
