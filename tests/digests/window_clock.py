"""Drives store time: steps of the wall clock, suspends, restarts within one boot and reboots."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.result_store.window_clock import ClockReading as Moment
from valeturn.result_store.window_clock import StoreTimestamp as Stamp
from valeturn.result_store.window_clock import WindowClock as Clock
from valeturn.result_store.window_clock import resume, same_boot

STEPS = 6000


class Machine:
    """The clocks of a machine that is suspended, set and rebooted."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.wall = 1_700_000_000.0
        self.boot = 50.0
        self.boot_id = "boot-0"
        self.boots = 0

    def read(self) -> Moment:
        """Return the clocks' reading."""
        return Moment(self.wall, self.boot, self.boot_id)

    def goes_on(self) -> None:
        """Advance the time; sometimes the wall clock is set, or the boot clock is read slightly early."""
        passed = self.chance.choice([0.0, 0.001, 0.5, 1.0, 60.0, 4000.0])
        self.wall += passed
        self.boot += passed
        kind = self.chance.random()
        if kind < 0.05:
            self.wall += self.chance.uniform(-10_000.0, 10_000.0)
        elif kind < 0.08:
            self.boot -= self.chance.uniform(0.0, 100.0)

    def reboot(self) -> None:
        """Begin another boot, sometimes without a boot id."""
        self.boots += 1
        self.boot_id = self.chance.choice(["", f"boot-{self.boots}", f"boot-{self.boots}"])
        self.boot = self.chance.uniform(0.0, 40.0)
        self.wall += self.chance.choice([-5000.0, -1.0, 0.0, 30.0, 900.0])


def plain(stamp: Stamp) -> list[object]:
    """Return a timestamp by position."""
    at, moment = stamp
    return [at, list(moment)]


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run some thousand steps and record the time, the timestamps and the times resumed from them."""
    chance = random.Random(seed)
    machine = Machine(chance)
    record(resume(None, machine.read()))
    clock = Clock(None, machine.read)
    stamp = clock.timestamp()
    for _ in range(STEPS):
        machine.goes_on()
        record(clock.now())
        kind = chance.random()
        if kind < 0.2:
            stamp = clock.timestamp()
            record(plain(stamp))
        elif kind < 0.3:
            if chance.random() < 0.5:
                machine.reboot()
            kept = None if chance.random() < 0.05 else stamp
            moment = machine.read()
            record(resume(kept, moment))
            record(same_boot(stamp.reading, moment))
            clock = Clock(kept, machine.read)
            record([clock.start, clock.start_boot])
