"""Drives store time: steps of the wall clock, suspends, restarts within one boot and reboots."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.result_store.window_clock import ClockReading, StoreTimestamp, WindowClock, resume, same_boot

STEPS = 6000


class Machine:
    """The clocks of a machine that is suspended, set and rebooted."""

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.wall = 1_700_000_000.0
        self.boot = 50.0
        self.boot_id = "boot-0"
        self.boots = 0

    def read(self) -> ClockReading:
        """Return the clocks' reading."""
        return ClockReading(self.wall, self.boot, self.boot_id)

    def advance(self) -> None:
        """Advance the time; sometimes the wall clock is set, or the boot clock is read slightly early."""
        passed = self.random_source.choice([0.0, 0.001, 0.5, 1.0, 60.0, 4000.0])
        self.wall += passed
        self.boot += passed
        kind = self.random_source.random()
        if kind < 0.05:
            self.wall += self.random_source.uniform(-10_000.0, 10_000.0)
        elif kind < 0.08:
            self.boot -= self.random_source.uniform(0.0, 100.0)

    def reboot(self) -> None:
        """Begin another boot, sometimes without a boot id."""
        self.boots += 1
        self.boot_id = self.random_source.choice(["", f"boot-{self.boots}", f"boot-{self.boots}"])
        self.boot = self.random_source.uniform(0.0, 40.0)
        self.wall += self.random_source.choice([-5000.0, -1.0, 0.0, 30.0, 900.0])


def plain(stamp: StoreTimestamp) -> list[object]:
    """Return a timestamp by position."""
    at, reading = stamp
    return [at, list(reading)]


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run some thousand steps and record the time, the timestamps and the times resumed from them."""
    random_source = random.Random(seed)
    machine = Machine(random_source)
    record(resume(None, machine.read()))
    clock = WindowClock(None, machine.read)
    stamp = clock.timestamp()
    for _ in range(STEPS):
        machine.advance()
        record(clock.now())
        kind = random_source.random()
        if kind < 0.2:
            stamp = clock.timestamp()
            record(plain(stamp))
        elif kind < 0.3:
            if random_source.random() < 0.5:
                machine.reboot()
            stored = None if random_source.random() < 0.05 else stamp
            reading = machine.read()
            record(resume(stored, reading))
            record(same_boot(stamp.reading, reading))
            clock = WindowClock(stored, machine.read)
            record([clock.start, clock.start_boot])
