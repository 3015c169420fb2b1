"""Kinds of values: each turns a text into what the program uses, or says what it wants instead."""

from __future__ import annotations

import math
import os
from typing import NamedTuple

from .grammar import quantity

TIMES = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
SIZES = {"B": 1, "kB": 1000, "MB": 1000**2, "GB": 1000**3, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
RATES = {"/s": 1.0, "/min": 1 / 60}
FAMILIES = {"a time": TIMES, "a size": SIZES, "a rate": RATES, "a share": {"%": 0.01}}


class Wants(Exception):
    """A value is not of its kind; args are the rule's name and the text."""


def _with_unit(text, family):
    """The number in the family's base unit. A unit of another family is named, as it is no slip of the
    pen."""
    units = FAMILIES[family]
    found = quantity(text)
    listed = ", ".join(units)
    if found is None:
        raise Wants("unreadable-value", f"wants {family} ({listed}), has {text!r}")
    number, unit = found
    if not unit:
        raise Wants("missing-unit", f"wants {family} with its unit ({listed}), has {text!r}")
    if unit not in units:
        other = next((name for name, known in FAMILIES.items() if unit in known), None)
        raise Wants(
            "wrong-unit", f"wants {family} ({listed}), has {text!r}" + (f", {other}" if other else "")
        )
    return number * units[unit]


class Quantity(NamedTuple):
    """A number with a unit of one family, between two bounds in the base unit (s, bytes, 1/s)."""

    family: str
    least: float
    most: float

    def read(self, text):
        value = _with_unit(text, self.family)
        if not self.least <= value <= self.most or not math.isfinite(value):
            raise Wants(
                "out-of-range",
                f"wants {self.family} from {self.say(self.least)} to {self.say(self.most)}, has {text!r}",
            )
        return int(value) if self.family == "a size" else value

    def say(self, value):
        units = [(size, name) for name, size in FAMILIES[self.family].items() if size <= value]
        size, name = max(units) if units else min((s, n) for n, s in FAMILIES[self.family].items())
        return f"{value / size:g} {name}"


class Switch(NamedTuple):
    def read(self, text):
        if text not in ("on", "off"):
            raise Wants("unreadable-value", f"wants on or off, has {text!r}")
        return text == "on"


class Folder(NamedTuple):
    """A path; what it names is looked at by who uses it."""

    def read(self, text):
        if "\0" in text or not os.path.isabs(text):
            raise Wants("unreadable-value", f"wants an absolute path, has {text!r}")
        return os.path.normpath(text)


class Whole(NamedTuple):
    least: int
    most: int

    def read(self, text):
        found = quantity(text)
        if found is None or found[1] or found[0] != int(found[0]):
            raise Wants("unreadable-value", f"wants a whole number, has {text!r}")
        if not self.least <= found[0] <= self.most:
            raise Wants("out-of-range", f"wants {self.least} to {self.most}, has {text!r}")
        return int(found[0])


class One(NamedTuple):
    """One word of a few."""

    words: tuple

    def read(self, text):
        if text not in self.words:
            raise Wants("unreadable-value", f"wants {' or '.join(self.words)}, has {text!r}")
        return text


class Text(NamedTuple):
    """As it is written: a command for a shell."""

    def read(self, text):
        return text
