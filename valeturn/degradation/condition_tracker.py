"""Tracks for how long the comparisons of a condition have held without interruption."""

from __future__ import annotations

from typing import NamedTuple

from .conditions import Baselines, Comparison, Condition, Readings

# Seconds for which a comparison keeps its last result while its signal is missing. A signal that is no longer
# measured must neither enter a level nor keep it active forever.
MISSING_SIGNAL_GRACE = 5.0


class KnownResult(NamedTuple):
    """The last result of a comparison whose signal was known.

    Attributes:
        timestamp: When the signal was known, in seconds.
        holds: Whether the comparison held then.
    """

    timestamp: float
    holds: bool


class ConditionTracker:
    """Tracks one condition of one level; each comparison is timed separately.

    Args:
        condition: The condition to track.
        when_missing: What a comparison counts as once its signal has been missing for longer than
            `MISSING_SIGNAL_GRACE`, or was never known.
    """

    def __init__(self, condition: Condition, when_missing: bool) -> None:
        self.condition = condition
        self._when_missing = when_missing
        self._holding_since: dict[Comparison, float] = {}
        self._last_known: dict[Comparison, KnownResult] = {}

    def update(self, now: float, readings: Readings, baselines: Baselines) -> bool:
        """Update with new readings and return whether the condition has held for as long as required."""
        # No short circuit: each comparison has to see every reading.
        met = [
            self._update_conjunction(now, conjunction, readings, baselines)
            for conjunction in self.condition.conjunctions
        ]
        return any(met)

    def holds_now(self, readings: Readings, baselines: Baselines) -> bool:
        """Return whether the condition holds for these readings, whatever its required duration."""
        return any(
            all(comparison.holds(readings, baselines) for comparison in conjunction)
            for conjunction in self.condition.conjunctions
        )

    def _update_conjunction(
        self, now: float, conjunction: tuple[Comparison, ...], readings: Readings, baselines: Baselines
    ) -> bool:
        held = [self._update_comparison(now, comparison, readings, baselines) for comparison in conjunction]
        return all(held)

    def _update_comparison(
        self, now: float, comparison: Comparison, readings: Readings, baselines: Baselines
    ) -> bool:
        holds = comparison.holds(readings, baselines)
        if holds is None:
            holds = self._result_without_signal(now, comparison)
        else:
            self._last_known[comparison] = KnownResult(now, holds)
        if not holds:
            self._holding_since.pop(comparison, None)
            return False
        return now - self._holding_since.setdefault(comparison, now) >= comparison.hold_duration

    def _result_without_signal(self, now: float, comparison: Comparison) -> bool:
        known = self._last_known.get(comparison)
        if known is None or now - known.timestamp > MISSING_SIGNAL_GRACE:
            return self._when_missing
        return known.holds
