"""The section [metrics] of the operator's file."""

from __future__ import annotations

from typing import NamedTuple

from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import AbsolutePath, Quantity

LIBRARY = 14_000_000  # bytes that the client library takes in the server


class MetricsOptions(NamedTuple):
    file: (
        str  # replaced whole, for a node's own collector of text files; also asked for on the control socket
    )
    every: float
    where: dict = {}

    def fit(self, memory_mb):
        if memory_mb * 1e6 < 2 * LIBRARY + 20e6:
            return [
                self.where["file"].fault(
                    "over-the-limits", f"metrics take 14 MB of limits.memory_mb = {memory_mb:g}"
                )
            ]
        return []


def check_deployment(built, c):
    """What is wrong with it beside a configuration."""
    return built.fit(c.memory_mb)


SCHEMA = SectionSchema(
    "metrics",
    {"file": Field(AbsolutePath(), REQUIRED), "every": Field(Quantity("a time", 1.0, 3600.0), 15.0)},
    lambda values, where: (MetricsOptions(**values, where=where), []),
)
