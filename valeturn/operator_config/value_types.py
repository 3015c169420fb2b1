"""Types of the values in the operator's file.

Each type parses a text into the value that the program uses, or raises InvalidValueError with what it
expects.
"""

from __future__ import annotations

import math
import os
from typing import NamedTuple, Protocol, TypeVar

from ..errors import ValeturnError
from .grammar import parse_quantity

# Unit -> its size in the base unit of its dimension: seconds, bytes, 1/s, and a fraction of 1.
TIME_UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
SIZE_UNITS: dict[str, float] = {
    "B": 1,
    "kB": 1000,
    "MB": 1000**2,
    "GB": 1000**3,
    "KiB": 1024,
    "MiB": 1024**2,
    "GiB": 1024**3,
}
RATE_UNITS = {"/s": 1.0, "/min": 1 / 60}
SHARE_UNITS = {"%": 0.01}

SIZE = "a size"
# Dimension, as named in messages -> its units.
UNITS_BY_DIMENSION: dict[str, dict[str, float]] = {
    "a time": TIME_UNITS,
    SIZE: SIZE_UNITS,
    "a rate": RATE_UNITS,
    "a share": SHARE_UNITS,
}

ValueT_co = TypeVar("ValueT_co", covariant=True)


class InvalidValueError(ValeturnError):
    """A text is not a valid value of its key's type.

    Attributes:
        rule: Short name of the broken rule, stable between versions.
        text: What was expected and what was found, without the key, which messages put before it.
    """

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(rule, text)
        self.rule = rule
        self.text = text


class ValueType(Protocol[ValueT_co]):
    """The interface of a field's type; subsystems define further types."""

    def read(self, text: str) -> ValueT_co:
        """Return the value of a text.

        Raises:
            InvalidValueError: The text is not of this type.
        """
        ...


def _to_base_unit(text: str, dimension: str) -> float:
    """Return the quantity in a text, in the base unit of the dimension.

    The error for a unit of another dimension names that dimension, because it is hardly a typing error.

    Raises:
        InvalidValueError: The text is not a quantity, or its unit is missing or of another dimension.
    """
    units = UNITS_BY_DIMENSION[dimension]
    quantity = parse_quantity(text)
    unit_list = ", ".join(units)
    if quantity is None:
        raise InvalidValueError("unreadable-value", f"wants {dimension} ({unit_list}), has {text!r}")
    if not quantity.unit:
        expectation = f"wants {dimension} with its unit ({unit_list}), has {text!r}"
        raise InvalidValueError("missing-unit", expectation)
    if quantity.unit not in units:
        expectation = f"wants {dimension} ({unit_list}), has {text!r}"
        for other_dimension, other_units in UNITS_BY_DIMENSION.items():
            if quantity.unit in other_units:
                expectation += f", {other_dimension}"
                break
        raise InvalidValueError("wrong-unit", expectation)
    return quantity.number * units[quantity.unit]


class Quantity(NamedTuple):
    """A number with a unit, between two inclusive bounds in the base unit (s, bytes, 1/s, fraction of 1)."""

    dimension: str
    minimum: float
    maximum: float

    def read(self, text: str) -> float:
        """Return the quantity in the base unit; a size is a whole number of bytes.

        Raises:
            InvalidValueError: The text is not a quantity of this dimension, or is out of bounds.
        """
        value = _to_base_unit(text, self.dimension)
        if not self.minimum <= value <= self.maximum or not math.isfinite(value):
            bounds = f"from {self.format(self.minimum)} to {self.format(self.maximum)}"
            raise InvalidValueError("out-of-range", f"wants {self.dimension} {bounds}, has {text!r}")
        return int(value) if self.dimension == SIZE else value

    def format(self, value: float) -> str:
        """Format a value in the base unit with the largest unit that is not larger than the value."""
        units = [(size, name) for name, size in UNITS_BY_DIMENSION[self.dimension].items()]
        fitting = [unit for unit in units if unit[0] <= value]
        size, name = max(fitting) if fitting else min(units)
        return f"{value / size:g} {name}"


class Boolean(NamedTuple):
    """The words `on` and `off`."""

    def read(self, text: str) -> bool:
        """Return whether the text is `on`.

        Raises:
            InvalidValueError: The text is neither word.
        """
        if text not in ("on", "off"):
            raise InvalidValueError("unreadable-value", f"wants on or off, has {text!r}")
        return text == "on"


class AbsolutePath(NamedTuple):
    """An absolute path; whether it exists is checked by the subsystem that uses it."""

    def read(self, text: str) -> str:
        """Return the normalized path.

        Raises:
            InvalidValueError: The text is not an absolute path.
        """
        if "\0" in text or not os.path.isabs(text):
            raise InvalidValueError("unreadable-value", f"wants an absolute path, has {text!r}")
        return os.path.normpath(text)


class WholeNumber(NamedTuple):
    """A whole number without a unit, between two bounds, inclusive."""

    minimum: int
    maximum: int

    def read(self, text: str) -> int:
        """Return the number.

        Raises:
            InvalidValueError: The text is not a whole number, or is out of bounds.
        """
        quantity = parse_quantity(text)
        if quantity is None or quantity.unit:
            raise InvalidValueError("unreadable-value", f"wants a whole number, has {text!r}")
        # A number with too many digits is parsed as infinity, which is not whole and out of any range.
        if math.isfinite(quantity.number) and quantity.number != int(quantity.number):
            raise InvalidValueError("unreadable-value", f"wants a whole number, has {text!r}")
        if not self.minimum <= quantity.number <= self.maximum:
            raise InvalidValueError("out-of-range", f"wants {self.minimum} to {self.maximum}, has {text!r}")
        return int(quantity.number)


class Choice(NamedTuple):
    """One of a few words."""

    words: tuple[str, ...]

    def read(self, text: str) -> str:
        """Return the word.

        Raises:
            InvalidValueError: The text is none of the words.
        """
        if text not in self.words:
            raise InvalidValueError("unreadable-value", f"wants {' or '.join(self.words)}, has {text!r}")
        return text


class Text(NamedTuple):
    """Any text, such as a command for a shell."""

    def read(self, text: str) -> str:
        """Return the text as it is written."""
        return text
