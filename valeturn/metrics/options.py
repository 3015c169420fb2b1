"""The section [metrics] of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from ..operator_config.grammar import Fault, LocatedValue
from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import AbsolutePath, Quantity

CLIENT_LIBRARY_BYTES = 14_000_000  # the memory that Prometheus's client library takes in the server
# Memory of a process without metrics. The library may use at most half of the memory that the limit leaves.
MEMORY_WITHOUT_METRICS_BYTES = 20_000_000
MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 3600.0
DEFAULT_INTERVAL_S = 15.0  # the scrape interval in Prometheus's example configuration


class MemoryLimit(Protocol):
    """The part of a configuration that limits these options."""

    @property
    def memory_mb(self) -> float:
        """The memory that the process may take, in megabytes."""


class MetricsOptions(NamedTuple):
    """The options of the metrics.

    Attributes:
        file_path: The path of the file that is replaced with the latest metrics.
        interval_s: The interval between two replacements, in seconds.
        value_places: The place of each key in the operator's file, for messages about it.
    """

    file_path: str
    interval_s: float
    value_places: Mapping[str, LocatedValue]


def build(
    values: Mapping[str, Any], value_places: Mapping[str, LocatedValue]
) -> tuple[MetricsOptions, list[Fault]]:
    """Return the options of a section whose values have the right types; they have no further faults."""
    return MetricsOptions(values["file"], values["every"], value_places), []


def check_deployment(options: MetricsOptions, configuration: MemoryLimit) -> list[Fault]:
    """Return the faults of the options with a configuration: too little memory for the client library."""
    memory_mb = configuration.memory_mb
    if memory_mb * 1e6 >= 2 * CLIENT_LIBRARY_BYTES + MEMORY_WITHOUT_METRICS_BYTES:
        return []
    message = f"metrics take 14 MB of limits.memory_mb = {memory_mb:g}"
    return [options.value_places["file"].fault("over-the-limits", message)]


SCHEMA = SectionSchema(
    "metrics",
    {
        "file": Field(AbsolutePath(), REQUIRED),
        "every": Field(Quantity("a time", MIN_INTERVAL_S, MAX_INTERVAL_S), DEFAULT_INTERVAL_S),
    },
    build,
)
