"""Counters and durations by dotted names.

The names come from the program alone, never from requests, so that their number is bounded.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Mapping
from typing import Protocol

from .logs import Log

KB_PER_MB = 1024


class LoopStatistics(Protocol):
    """The event loop's statistics, as the scheduler has them."""

    turns: int  # iterations of the loop
    timers_fired: int  # timers that have fired

    @property
    def lag_sum(self) -> float:
        """Sum of the seconds by which timers fired late."""

    @property
    def max_lag(self) -> float:
        """Seconds by which the most delayed timer fired late."""


class Durations:
    """The mean and the maximum duration of named operations."""

    def __init__(self) -> None:
        self._count: dict[str, int] = {}
        self._sum: dict[str, float] = {}
        self._maximum: dict[str, float] = {}

    def add(self, name: str, seconds: float) -> None:
        """Record one duration of the named operation, in seconds."""
        self._count[name] = self._count.get(name, 0) + 1
        self._sum[name] = self._sum.get(name, 0.0) + seconds
        self._maximum[name] = max(self._maximum.get(name, 0.0), seconds)

    def statistics_ms(self) -> dict[str, float]:
        """Return each operation's mean duration as NAME and its maximum as NAME_most, in milliseconds."""
        statistics = {}
        for name, count in sorted(self._count.items()):
            statistics[name] = 1000.0 * self._sum[name] / count
            statistics[f"{name}_most"] = 1000.0 * self._maximum[name]
        return statistics


class Counters:
    """The event counters and durations of one server."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.times = Durations()
        self._started_at = time.monotonic()

    def add(self, name: str, amount: int = 1) -> None:
        """Add to the counter of a name."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def groups(self) -> dict[str, dict[str, int]]:
        """Return the counters by the first component of their names, then by the rest of the names."""
        groups: dict[str, dict[str, int]] = {}
        for name, amount in sorted(self.counts.items()):
            group, _, rest = name.partition(".")
            groups.setdefault(group, {})[rest] = amount
        return groups

    def process_statistics(self, loop: LoopStatistics) -> dict[str, float]:
        """Return CPU and memory use of the process, and by how much the loop's timers were late."""
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
        """Log all counters, durations, gauges and process statistics, one line per group."""
        for group, counts in self.groups().items():
            log("counters", {"group": group, **counts})
        log("counters", {"group": "times_ms", **self.times.statistics_ms()})
        log("counters", {"group": "gauges", **gauges})
        log("counters", {"group": "process", **self.process_statistics(loop)})
