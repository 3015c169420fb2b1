"""Counters by dotted names. Only the program's own names are counted, so their number is bounded."""

from __future__ import annotations

import resource
import time
from collections.abc import Mapping
from typing import Protocol

from .logs import Log

KB_PER_MB = 1024


class LoopStatistics(Protocol):
    """What the scheduler knows about its own loop."""

    turns: int  # rounds of the loop
    timers_fired: int

    @property
    def lag_sum(self) -> float:
        """Seconds that timers were late, all together."""

    @property
    def max_lag(self) -> float:
        """Seconds that the latest timer was late."""


class Durations:
    """How long named operations took: the mean and the longest of each."""

    def __init__(self) -> None:
        self._count: dict[str, int] = {}
        self._sum: dict[str, float] = {}
        self._longest: dict[str, float] = {}

    def add(self, name: str, seconds: float) -> None:
        """Record that the named operation took so many seconds."""
        self._count[name] = self._count.get(name, 0) + 1
        self._sum[name] = self._sum.get(name, 0.0) + seconds
        self._longest[name] = max(self._longest.get(name, 0.0), seconds)

    def means(self) -> dict[str, float]:
        """Return mean and longest duration of each operation in ms, the latter as NAME_most."""
        figures = {}
        for name, count in sorted(self._count.items()):
            figures[name] = 1000.0 * self._sum[name] / count
            figures[f"{name}_most"] = 1000.0 * self._longest[name]
        return figures


class Counters:
    """Everything that one server counts and times."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.times = Durations()
        self._started_at = time.monotonic()

    def add(self, name: str, amount: int = 1) -> None:
        """Count the named event."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def groups(self) -> dict[str, dict[str, int]]:
        """Return the counts by the first part of their names, then by the rest."""
        groups: dict[str, dict[str, int]] = {}
        for name, amount in sorted(self.counts.items()):
            group, _, rest = name.partition(".")
            groups.setdefault(group, {})[rest] = amount
        return groups

    def process_figures(self, loop: LoopStatistics) -> dict[str, float]:
        """Return CPU and memory of the process, and how late the loop met its timers."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        requests = self.counts.get("in.submissions", 0)
        return {
            "seconds": time.monotonic() - self._started_at,
            "cpu_s": cpu_s,
            "cpu_ms_per_request": 1000.0 * cpu_s / max(1, requests),
            "memory_peak_mb": usage.ru_maxrss / KB_PER_MB,
            "loop_rounds": loop.turns,
            "timers": loop.timers_fired,
            "lag_mean_ms": 1000.0 * loop.lag_sum / max(1, loop.timers_fired),
            "lag_longest_ms": 1000.0 * loop.max_lag,
        }

    def print(self, log: Log, loop: LoopStatistics, gauges: Mapping[str, object]) -> None:
        """Log all counters, a line for each group."""
        for group, counts in self.groups().items():
            log("counters", {"group": group, **counts})
        log("counters", {"group": "times_ms", **self.times.means()})
        log("counters", {"group": "gauges", **gauges})
        log("counters", {"group": "process", **self.process_figures(loop)})
