"""Counts by dotted names. Only the program's own names go in, so their number is bounded."""

from __future__ import annotations

import resource
import time


class Times:
    """How long things took: the mean and the most of each."""

    def __init__(self):
        self.seen = {}  # name -> [count, sum, most]

    def add(self, name, seconds):
        row = self.seen.setdefault(name, [0, 0.0, 0.0])
        row[0], row[1], row[2] = row[0] + 1, row[1] + seconds, max(row[2], seconds)

    def means(self):
        out = {}
        for name, (number, total, most) in sorted(self.seen.items()):
            out.update({name: 1000.0 * total / number, name + "_most": 1000.0 * most})
        return out


class Counters:
    def __init__(self):
        self.counts, self.times, self.began = {}, Times(), time.monotonic()

    def add(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def groups(self):
        """The first part of each name -> {the rest: count}."""
        groups = {}
        for name, amount in sorted(self.counts.items()):
            first, _, rest = name.partition(".")
            groups.setdefault(first, {})[rest] = amount
        return groups

    def process(self, scheduler):
        """CPU, memory and how late the loop was."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        cpu, submissions = used.ru_utime + used.ru_stime, self.counts.get("in.submissions", 0)
        return {
            "seconds": time.monotonic() - self.began,
            "cpu_s": cpu,
            "cpu_ms_per_submission": 1000.0 * cpu / max(1, submissions),
            "memory_most_mb": used.ru_maxrss / 1024,
            "turns": scheduler.turns,
            "timers": scheduler.timers_met,
            "lag_mean_ms": 1000.0 * scheduler.lag_sum / max(1, scheduler.timers_met),
            "lag_most_ms": 1000.0 * scheduler.lag_most,
        }

    def print(self, log, scheduler, beliefs):
        for group, counts in self.groups().items():
            log("count", {"group": group, **counts})
        log("count", {"group": "times_ms", **self.times.means()})
        log("count", {"group": "beliefs", **beliefs})
        log("count", {"group": "process", **self.process(scheduler)})
