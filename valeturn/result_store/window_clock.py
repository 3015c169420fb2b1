"""Store time: a clock for deduplication windows that steps of the wall clock don't affect.

While the process runs, and across a restart within one boot, store time follows the machine's boot clock,
which continues during suspends and is never set. Across a reboot only the wall clock shows how long it took.
One that went back counts as no time at all, so that entries are kept too long rather than too briefly. One
that was set ahead during a reboot can't be distinguished from a long reboot; the operators' page says so.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple


class ClockReading(NamedTuple):
    """The machine's clocks, read at one time."""

    wall: float  # Unix time, seconds
    boot: float  # seconds since the machine was booted
    boot_id: str  # differs after every reboot; empty where the system does not provide it


class StoreTimestamp(NamedTuple):
    """Store time and the clocks it belongs to, as recorded in the log."""

    store_time: float  # seconds
    reading: ClockReading


def read_clocks(boot_id: str) -> ClockReading:
    """Read the machine's clocks."""
    return ClockReading(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME), boot_id)


def read_boot_id() -> str:
    """Return the boot's id, or "" where the system provides none: each start then counts as a reboot."""
    try:
        with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


def same_boot(one: ClockReading, other: ClockReading) -> bool:
    """Return whether both readings are known to be from one boot."""
    return bool(one.boot_id) and one.boot_id == other.boot_id


def resume(timestamp: StoreTimestamp | None, reading: ClockReading) -> float:
    """Return the current store time in seconds, from the last timestamp; wall time where there is none."""
    if timestamp is None:
        return reading.wall
    if same_boot(timestamp.reading, reading):
        return timestamp.store_time + max(0.0, reading.boot - timestamp.reading.boot)
    return timestamp.store_time + max(0.0, reading.wall - timestamp.reading.wall)


class WindowClock:
    """Provides store time in seconds; it never goes back below its value at the start."""

    def __init__(self, timestamp: StoreTimestamp | None, read: Callable[[], ClockReading]) -> None:
        self.read = read
        reading = read()
        self.start = resume(timestamp, reading)
        self.start_boot = reading.boot

    def now(self) -> float:
        """Return store time in seconds."""
        return self.start + max(0.0, self.read().boot - self.start_boot)

    def timestamp(self) -> StoreTimestamp:
        """Return store time together with the clocks' reading."""
        reading = self.read()
        return StoreTimestamp(self.start + max(0.0, reading.boot - self.start_boot), reading)
