"""Conditions that enter and leave a degradation level, such as `calls.latency > 3 x usual for 2 s`.

A condition is a disjunction of conjunctions of comparisons: `and` binds tighter than `or`. Each value has
the unit of its signal; a value in the unit of another family is rejected, and the error names that family.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from ..operator_config.value_types import UNITS_BY_DIMENSION, InvalidValueError

# The families of units that signals are measured in; the names appear in messages about the operator's file.
TIME = "a time"
RATIO = "a share"


class SignalRange(NamedTuple):
    """The unit and the largest value of a signal.

    Attributes:
        family: The family of the signal's units.
        maximum: The largest value in the family's base unit: seconds, or a ratio from 0 to 1.
    """

    family: str
    maximum: float


# The signals by their names in the operator's file; signals.py measures them.
SIGNALS = {
    "calls.latency": SignalRange(TIME, 3600.0),
    "calls.failing": SignalRange(RATIO, 1.0),
    "cores.busy": SignalRange(RATIO, 1.0),
    "unread.wait": SignalRange(TIME, 3600.0),
    "memory": SignalRange(RATIO, 1.0),
    "turned_back": SignalRange(RATIO, 1.0),
}
# Maximum seconds for which a comparison may have to hold: a level for an overload that lasts longer than ten
# minutes is a decision for an operator, not for a threshold.
MAX_HOLD_DURATION = 600.0

GRAMMAR = r"""
    condition: conjunction ("or" conjunction)*
    conjunction: comparison ("and" comparison)*
    comparison: SIGNAL OPERATOR value hold_duration?
    value: NUMBER UNIT? -> absolute
         | NUMBER "x" "usual" -> relative
    hold_duration: "for" NUMBER UNIT
    SIGNAL: /[a-z][a-z_]*(\.[a-z_]+)?/
    OPERATOR: ">" | "<"
    NUMBER: /\d+(\.\d*)?|\.\d+/
    UNIT: /%|(?!(and|or|for|x)\b)\/?[A-Za-z]+/
    %ignore /[ \t]+/
"""

# Measured values by signal; None where a signal is missing or stale.
Readings = Mapping[str, float | None]
# The learnt normal values by signal; a signal without one is absent.
Baselines = Mapping[str, float]


class Comparison(NamedTuple):
    """A comparison of one signal with a threshold.

    Attributes:
        signal: The name of the signal, a key of `SIGNALS`.
        above: Whether the signal must be above the threshold; otherwise it must be below.
        value: The threshold in the signal's base unit, or a multiple of the baseline.
        relative: Whether `value` is a multiple of the signal's baseline.
        hold_duration: Seconds for which the comparison must hold without interruption.
    """

    signal: str
    above: bool
    value: float
    relative: bool
    hold_duration: float

    def holds(self, readings: Readings, baselines: Baselines) -> bool | None:
        """Return whether the comparison holds now, or None where the signal or its baseline is unknown."""
        reading = readings.get(self.signal)
        threshold: float | None = self.value
        if self.relative:
            baseline = baselines.get(self.signal)
            threshold = None if baseline is None else self.value * baseline
        if reading is None or threshold is None:
            return None
        return reading > threshold if self.above else reading < threshold

    def __str__(self) -> str:
        """Return the comparison in the syntax of the operator's file."""
        if self.relative:
            threshold = f"{self.value:g} x usual"
        elif SIGNALS[self.signal].family == RATIO:
            threshold = f"{100 * self.value:g} %"
        else:
            threshold = f"{self.value:g} s"
        suffix = f" for {self.hold_duration:g} s" if self.hold_duration else ""
        return f"{self.signal} {'>' if self.above else '<'} {threshold}{suffix}"


class Condition(NamedTuple):
    """A disjunction of conjunctions of comparisons.

    Attributes:
        conjunctions: The alternatives; the condition holds where all comparisons of one of them hold.
    """

    conjunctions: tuple[tuple[Comparison, ...], ...]

    def comparisons(self) -> list[Comparison]:
        """Return all comparisons in the order in which they are written."""
        return [comparison for conjunction in self.conjunctions for comparison in conjunction]

    def __str__(self) -> str:
        """Return the condition in the syntax of the operator's file."""
        return " or ".join(" and ".join(map(str, conjunction)) for conjunction in self.conjunctions)


@functools.cache
def _parser() -> Any:  # noqa: ANN401 - the parser's type would load lark at import
    # lark is slow to import, and a server without degradation levels does not need it.
    from lark import Lark

    return Lark(GRAMMAR, start="condition", parser="lalr")


def _in_base_unit(number: str, unit: str | None, family: str, subject: str) -> float:
    """Return a number with a unit of `family` in the family's base unit."""
    families: Mapping[str, Any] = UNITS_BY_DIMENSION
    units: Mapping[str, float] = families[family]
    if unit is None:
        raise InvalidValueError(
            "missing-unit", f"{subject}: wants {family} with its unit ({', '.join(units)}), has {number}"
        )
    if unit not in units:
        other = next((name for name, known in families.items() if unit in known), "no unit")
        raise InvalidValueError(
            "wrong-unit", f"{subject}: wants {family} ({', '.join(units)}), has {number} {unit}, {other}"
        )
    return float(number) * units[unit]


def _relative_value(signal: str, number: str) -> float:
    """Return the multiple of the baseline that a signal is compared with."""
    if SIGNALS[signal].family != TIME:
        raise InvalidValueError("no-usual", f"{signal} is a share: it has no usual value")
    value = float(number)
    if value <= 0:
        raise InvalidValueError("out-of-range", f"{signal}: {value:g} x usual is never passed")
    return value


def _absolute_value(signal: str, operator: str, words: Sequence[str]) -> float:
    """Return the threshold that a signal is compared with, in its base unit."""
    family, maximum = SIGNALS[signal]
    value = _in_base_unit(words[0], words[1] if len(words) > 1 else None, family, signal)
    never_above = operator == ">" and value >= maximum
    never_below = operator == "<" and value <= 0
    if not 0 <= value <= maximum or never_above or never_below:
        raise InvalidValueError("never-holds", f"{signal} {operator} {' '.join(words)} can never hold")
    return value


def _hold_duration(words: Sequence[str]) -> float:
    """Return the seconds of a `for` clause."""
    seconds = _in_base_unit(words[0], words[1], TIME, "for")
    if seconds > MAX_HOLD_DURATION:
        raise InvalidValueError("out-of-range", f"for {seconds:g} s is over {MAX_HOLD_DURATION:g} s")
    return seconds


def _words(tree: Any) -> list[str]:  # noqa: ANN401 - a tree of lark, which is loaded on first use
    return [str(token) for token in tree.children]


def _comparison(tree: Any) -> Comparison:  # noqa: ANN401 - a tree of lark, which is loaded on first use
    signal_token, operator_token, value, *hold = tree.children
    signal = str(signal_token)
    operator = str(operator_token)
    if signal not in SIGNALS:
        raise InvalidValueError("unknown-signal", f"{signal}; known: {', '.join(SIGNALS)}")
    relative = value.data == "relative"
    if relative:
        threshold = _relative_value(signal, str(value.children[0]))
    else:
        threshold = _absolute_value(signal, operator, _words(value))
    hold_duration = _hold_duration(_words(hold[0])) if hold else 0.0
    return Comparison(signal, operator == ">", threshold, relative, hold_duration)


class ConditionType(NamedTuple):
    """The value type of a condition in the operator's file."""

    def read(self, text: str) -> Condition:
        """Parse a condition.

        Raises:
            InvalidValueError: The text is not a condition, or a comparison in it has an unknown signal, a
                wrong unit or a threshold that can never be passed.
        """
        from lark.exceptions import UnexpectedInput

        try:
            tree = _parser().parse(text)
        except UnexpectedInput as error:
            column = getattr(error, "column", 0)
            raise InvalidValueError(
                "unreadable-condition",
                "wants SIGNAL > VALUE for TIME, joined by and / or; not read "
                f"from character {max(1, column)} of {text!r}",
            ) from None
        return Condition(
            tuple(
                tuple(_comparison(comparison) for comparison in conjunction.children)
                for conjunction in tree.children
            )
        )
