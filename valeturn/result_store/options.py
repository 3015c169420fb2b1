"""The section [store] of the operator's file."""

from __future__ import annotations

from typing import NamedTuple

from ..operator_config.schema import REQUIRED, Field, Shape
from ..operator_config.value_types import Folder, Quantity
from . import limits


class StoreOptions(NamedTuple):
    folder: str
    disk: int  # bytes that all its files may take
    memory: int  # bytes for the index and what waits for the disk
    segment: int  # bytes of a log file at which the next is begun
    retry: float  # s from an error of the disk to the next attempt, in a file of its own
    where: dict = {}

    def fit(self, memory_mb):
        """The faults of these values beside the limits of the process."""
        free = memory_mb * 1e6 - limits.MIN_PROCESS_MEMORY
        if self.memory > free:
            return [
                self.where["memory"].fault(
                    "over-the-limits",
                    f"memory leaves the process under {limits.MIN_PROCESS_MEMORY / 1e6:g} MB of its "
                    f"limits.memory_mb = {memory_mb:g}; at most {max(0.0, free) / 1e6:g} MB fit",
                )
            ]
        return []


def build(values, where):
    options = StoreOptions(**values, where=where)
    least = limits.MIN_SEGMENTS * options.segment
    faults = []
    if options.disk < least:
        faults.append(
            where["disk"].fault(
                "too-small",
                f"disk wants room for {limits.MIN_SEGMENTS} segments, {least / 1e6:g} MB at least",
            )
        )
    return options, faults


def fit(built, c):
    """What is wrong with it beside a configuration."""
    return built.fit(c.memory_mb)


SHAPE = Shape(
    "store",
    {
        "folder": Field(Folder(), REQUIRED),
        "disk": Field(Quantity("a size", 1_000_000, 10**12), 256_000_000),
        "memory": Field(Quantity("a size", 2_000_000, 10**11), 32_000_000),
        "segment": Field(Quantity("a size", 65_536, 64_000_000), 4_000_000),
        "retry": Field(Quantity("a time", 0.05, 3600.0), 1.0),
    },
    build,
)
