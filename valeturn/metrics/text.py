"""A server's status as Prometheus's text. Names are the program's own counters, so that their number is
bounded."""

from __future__ import annotations

import os
import re

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

UNFIT = re.compile(r"[^a-zA-Z0-9_]")


class Collector:
    def __init__(self, status):
        self.status = status

    def collect(self):
        status = self.status()
        counted = CounterMetricFamily(
            "valeturn_events", "Counted events by group and name", labels=["group", "name"]
        )
        for group, counts in sorted(status["counters"].items()):
            for name, count in sorted(counts.items()):
                counted.add_metric([group, name or group], count)
        yield counted
        for name, value in sorted(status["beliefs"].items()):
            if isinstance(value, (int, float)):
                yield GaugeMetricFamily(
                    "valeturn_" + UNFIT.sub("_", name), "As the server holds it to be", value
                )
        times = GaugeMetricFamily(
            "valeturn_time_milliseconds", "Mean and most of what is timed", labels=["name"]
        )
        for name, value in sorted(status["times_ms"].items()):
            times.add_metric([name], value)
        yield times
        yield GaugeMetricFamily("valeturn_up_seconds", "Since the start", status["up_s"])
        level = status["level"]
        if level is not None:
            now = GaugeMetricFamily("valeturn_level", "1 for the level that holds", labels=["level"])
            now.add_metric([level["now"]], 1)
            yield now
            spent = CounterMetricFamily("valeturn_level_seconds", "Seconds in each level", labels=["level"])
            for key, value in sorted(level.items()):
                if key.startswith("in_"):
                    spent.add_metric([key[3:-2]], value)
            yield spent


class Metrics:
    """status(): Server.status."""

    def __init__(self, status):
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(Collector(status))

    def text(self):
        return generate_latest(self.registry)

    def write(self, path):
        """Replaces the file whole, so that no reader sees half of one. Raises OSError."""
        new = f"{path}.new"
        with open(new, "wb") as file:
            file.write(self.text())
        os.replace(new, path)
