"""Renders a server's status in Prometheus's text exposition format.

Label values are names of the program's counters, timers and levels, never values from requests, so that the
number of time series is bounded. Operators' dashboards depend on the metric names and help texts.
"""

from __future__ import annotations

import os
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeAlias

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

INVALID_IN_NAME = re.compile(r"[^a-zA-Z0-9_]")
# The level's status contains the seconds spent in each level under keys such as "in_slim_s".
LEVEL_SECONDS_PREFIX = "in_"
LEVEL_SECONDS_SUFFIX = "_s"

# The JSON object that the control socket returns for a status request.
Status: TypeAlias = Mapping[str, Any]


class StatusCollector(Collector):
    """Converts the current status into metrics at each collection."""

    def __init__(self, get_status: Callable[[], Status]) -> None:
        self.get_status = get_status

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics of one status."""
        status = self.get_status()
        yield event_counters(status["counters"])
        yield from gauges(status["beliefs"])
        yield timings(status["times_ms"])
        yield GaugeMetricFamily("valeturn_up_seconds", "Since the start", status["up_s"])
        level = status["level"]
        if level is not None:
            yield current_level(level)
            yield seconds_by_level(level)


def event_counters(groups: Mapping[str, Mapping[str, int]]) -> Metric:
    """Return the counters of events, labelled with their group and name."""
    family = CounterMetricFamily(
        "valeturn_events", "Counted events by group and name", labels=["group", "name"]
    )
    for group, counts in sorted(groups.items()):
        for name, count in sorted(counts.items()):
            family.add_metric([group, name or group], count)
    return family


def gauges(values: Mapping[str, Any]) -> Iterator[Metric]:
    """Yield one metric for each numeric gauge; gauges with a text, such as a disk's state, are skipped."""
    for name, value in sorted(values.items()):
        if isinstance(value, (int, float)):
            metric_name = "valeturn_" + INVALID_IN_NAME.sub("_", name)
            yield GaugeMetricFamily(metric_name, "As the server holds it to be", value)


def timings(milliseconds: Mapping[str, float]) -> Metric:
    """Return the mean and the maximum of each timed operation in milliseconds, labelled with its name."""
    family = GaugeMetricFamily(
        "valeturn_time_milliseconds", "Mean and most of what is timed", labels=["name"]
    )
    for name, value in sorted(milliseconds.items()):
        family.add_metric([name], value)
    return family


def current_level(level: Mapping[str, Any]) -> Metric:
    """Return a metric with the value 1 for the active degradation level."""
    family = GaugeMetricFamily("valeturn_level", "1 for the level that holds", labels=["level"])
    family.add_metric([level["now"]], 1)
    return family


def seconds_by_level(level: Mapping[str, Any]) -> Metric:
    """Return the seconds that the server has spent at each degradation level since its start."""
    family = CounterMetricFamily("valeturn_level_seconds", "Seconds in each level", labels=["level"])
    for key, value in sorted(level.items()):
        if key.startswith(LEVEL_SECONDS_PREFIX):
            name = key[len(LEVEL_SECONDS_PREFIX) : -len(LEVEL_SECONDS_SUFFIX)]
            family.add_metric([name], value)
    return family


class MetricsExporter:
    """Renders the metrics of one server."""

    def __init__(self, get_status: Callable[[], Status]) -> None:
        """Create an exporter that calls `get_status` for the status at each rendering."""
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(StatusCollector(get_status))

    def render(self) -> bytes:
        """Return the metrics in the text exposition format."""
        return generate_latest(self.registry)

    def write_file(self, path: str) -> None:
        """Replace a file atomically, so that the node exporter's textfile collector reads no partial file.

        Raises:
            OSError: The file, or the temporary file beside it, can't be written.
        """
        temporary_path = f"{path}.new"
        with open(temporary_path, "wb") as file:
            file.write(self.render())
        os.replace(temporary_path, path)
