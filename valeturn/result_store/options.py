"""The section [store] of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import AbsolutePath, Quantity
from . import limits


class StoreOptions(NamedTuple):
    """The section's values; the field names are its keys."""

    folder: str
    disk: int  # maximum bytes of all files
    memory: int  # maximum bytes of the index and of records waiting to be written
    segment: int  # size in bytes at which the next segment is begun
    retry: float  # seconds from a disk failure to the next attempt, which begins a new segment
    where: Mapping[str, Any] = {}  # by key, the place in the operator's file, for faults

    def check_memory(self, memory_mb: float) -> list[Any]:
        """Return the faults of these values given the process's memory limit in MB."""
        free = memory_mb * 1e6 - limits.MIN_PROCESS_MEMORY_BYTES
        if self.memory <= free:
            return []
        text = (
            f"memory leaves the process under {limits.MIN_PROCESS_MEMORY_BYTES / 1e6:g} MB of its "
            f"limits.memory_mb = {memory_mb:g}; at most {max(0.0, free) / 1e6:g} MB fit"
        )
        return [self.where["memory"].fault("over-the-limits", text)]


def build(values: Mapping[str, Any], where: Mapping[str, Any]) -> tuple[StoreOptions, list[Any]]:
    """Return the options of a section's values, and the faults of their combination."""
    options = StoreOptions(**values, where=where)
    min_disk = limits.MIN_SEGMENTS * options.segment
    if options.disk >= min_disk:
        return options, []
    text = f"disk wants room for {limits.MIN_SEGMENTS} segments, {min_disk / 1e6:g} MB at least"
    return options, [where["disk"].fault("too-small", text)]


def check_deployment(built: StoreOptions, configuration: Any) -> list[Any]:  # noqa: ANN401 (the server's configuration)
    """Return the faults of the options given the server's configuration."""
    return built.check_memory(configuration.memory_mb)


SCHEMA = SectionSchema(
    "store",
    {
        "folder": Field(AbsolutePath(), REQUIRED),
        "disk": Field(Quantity("a size", 1_000_000, 10**12), 256_000_000),
        "memory": Field(Quantity("a size", 2_000_000, 10**11), 32_000_000),
        "segment": Field(Quantity("a size", 65_536, 64_000_000), 4_000_000),
        "retry": Field(Quantity("a time", 0.05, 3600.0), 1.0),
    },
    build,
)
