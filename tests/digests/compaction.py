"""Drives the store's background decisions: actions on the log, capacity for a key, the disk's health."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.result_store.compaction_policy import (
    DISK_TRANSITIONS,
    DiskEvent,
    DiskHealth,
    decide,
)
from valeturn.result_store.compaction_policy import LATE_READ_GRACE_S as UNREAD
from valeturn.result_store.compaction_policy import MERGE_ABOVE_SEGMENTS as MANY
from valeturn.result_store.compaction_policy import CapacityView as Room
from valeturn.result_store.compaction_policy import LogView as View
from valeturn.result_store.compaction_policy import oldest_expired as over
from valeturn.result_store.compaction_policy import oldest_not_covered as uncovered
from valeturn.result_store.compaction_policy import retry_after as room_in
from valeturn.result_store.compaction_policy import short_of_space as crowded

DISK_STATES = (DiskHealth.HEALTHY, DiskHealth.BACKING_OFF, DiskHealth.REOPENING)
DISK_INPUTS = (DiskEvent.FAILED, DiskEvent.RETRY, DiskEvent.REOPENED)
STEPS = 4000
SEGMENT = 1000


def generated_view(chance: random.Random) -> View:
    """Return a log with values on both sides of each bound, and on the bounds."""
    now = chance.uniform(0.0, 1000.0)
    count = chance.choice([0, 1, 1, 2, 5, MANY, MANY + 1, MANY + 6])
    first = chance.randrange(1, 50)
    segments = []
    for offset in range(count):
        size = chance.choice([10, 400, SEGMENT // 2, 600, SEGMENT])
        until = now + chance.choice([-2 * UNREAD, -UNREAD, -1.0, 30.0])
        segments.append((first + offset, size, until))
    active = (first + count, chance.randrange(SEGMENT))
    used = sum(size for _, size, _ in segments) + active[1]
    usable = chance.choice([used, used + 1, 4 * used // 3, 4 * used // 3 + 2, 3 * used]) + 1
    snapshot_size = chance.choice([0, 100, 4 * SEGMENT, 9 * SEGMENT])
    unsnapped = chance.choice([0, 2 * SEGMENT, 2 * SEGMENT + 1, snapshot_size // 2, snapshot_size])
    return View(
        now,
        tuple(segments),
        active,
        first + chance.choice([-1, 0, 1, count]),
        unsnapped,
        snapshot_size,
        SEGMENT,
        usable,
        chance.random() < 0.9,
        now + chance.choice([-1.0, -1.0, 0.0, 1.0]),
    )


def generated_room(chance: random.Random) -> Room:
    """Return a capacity view with values on both sides of each bound, and on the bounds."""
    most_keys = 100
    usable = 5000
    most_waiting = 300
    used = chance.choice([100, 2000, usable - 500, usable])
    return Room(
        chance.choice([0, 50, most_keys - 1, most_keys, most_keys + 3]),
        most_keys,
        used,
        chance.choice([0, 500, 501, usable - used, usable - used + 1]),
        usable,
        chance.choice([0, most_waiting - 1, most_waiting, most_waiting + 1]),
        most_waiting,
        chance.choice([-1.0, 0.0, 0.0, 0.0, 2.5]),
        chance.choice([0.0, 0.0, 0.0, 0.01, 3.5]),
        chance.choice([-20.0, -UNREAD, -4.0, 0.0, 12.5]),
    )


def play(seed: int, record: Callable[[object], None]) -> None:
    """Record each decision on generated input."""
    for state in DISK_STATES:
        for given in DISK_INPUTS:
            found = DISK_TRANSITIONS.get((state, given))
            record(None if found is None else [str(word) for word in found])
    chance = random.Random(seed)
    health = DiskHealth.HEALTHY
    for _ in range(STEPS):
        view = generated_view(chance)
        record(str(decide(view)))
        record([over(view), crowded(view)])
        if view.segments:
            record(uncovered(view))
        record(room_in(generated_room(chance)))
        found = DISK_TRANSITIONS.get((health, chance.choice(DISK_INPUTS)))
        record(None if found is None else [str(word) for word in found])
        if found is not None:
            health = found[0]
