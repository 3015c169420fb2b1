"""What a store is built with: its collaborators and its settings."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .directory import StoreFiles
from .limits import StoreLimits
from .window_clock import ClockReading
from .worker import Worker


@dataclass(frozen=True)
class StoreEnvironment:
    """The collaborators that the server gives to the store."""

    files: StoreFiles  # prepared, so that no other process uses the directory
    worker: Worker
    read_clocks: Callable[[], ClockReading]
    count: Callable[..., None]  # count(name, amount=1): adds to a counter
    log: Callable[..., None]  # log(event, fields): writes a line to the server's log


class StoreSettings(NamedTuple):
    """The settings of one store."""

    limits: StoreLimits
    retry_delay: float  # seconds from a failure of the disk to the next attempt
    longest_window: float  # seconds, the longest of all configured windows
