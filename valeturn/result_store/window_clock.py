"""The store's own time: wall time that no step of the wall clock moves.

Windows are counted in it. While the process lives, and over a restart on the same boot of the machine, it
goes by the boot clock, which runs through suspends and is never set. Over a reboot only the wall clock can
tell how long it took: a wall clock that has gone back counts as no time at all, so that entries stay too long
rather than too short. One that was set ahead during a reboot can't be told from a long one; the operators'
page says so.
"""

from __future__ import annotations

import time
from typing import NamedTuple


class Moment(NamedTuple):
    """What the machine's clocks say at once."""

    wall: float  # Unix s
    boot: float  # s since the machine came up
    boot_id: str  # another after every reboot


class Stamp(NamedTuple):
    """The store's time at a moment, kept in the log."""

    at: float
    moment: Moment


def read(boot_id):
    return Moment(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME), boot_id)


def boot_id():
    """ "" where the system does not tell: each start then counts as a reboot."""
    try:
        with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


def same_boot(one, other):
    return bool(one.boot_id) and one.boot_id == other.boot_id


def resume(stamp, moment):
    """The store's time now, from the last stamp that was kept; the wall's where there is none."""
    if stamp is None:
        return moment.wall
    if same_boot(stamp.moment, moment):
        return stamp.at + max(0.0, moment.boot - stamp.moment.boot)
    return stamp.at + max(0.0, moment.wall - stamp.moment.wall)


class Clock:
    """now() in store time, s; never goes back."""

    def __init__(self, stamp, read):
        self.read = read
        moment = read()
        self.start, self.boot = resume(stamp, moment), moment.boot

    def now(self):
        return self.start + max(0.0, self.read().boot - self.boot)

    def stamp(self):
        moment = self.read()
        return Stamp(self.start + max(0.0, moment.boot - self.boot), moment)
