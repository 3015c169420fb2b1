"""Drives the store's background decisions: actions on the log, capacity for a key, the disk's health."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.result_store.compaction_policy import (
    DISK_TRANSITIONS,
    LATE_READ_GRACE_S,
    MERGE_ABOVE_SEGMENTS,
    CapacityView,
    DiskEvent,
    DiskHealth,
    LogView,
    decide,
    oldest_expired,
    oldest_not_covered,
    retry_after,
    short_of_space,
)

DISK_STATES = (DiskHealth.HEALTHY, DiskHealth.BACKING_OFF, DiskHealth.REOPENING)
DISK_INPUTS = (DiskEvent.FAILED, DiskEvent.RETRY, DiskEvent.REOPENED)
STEPS = 4000
SEGMENT_BYTES = 1000


def generated_log_view(random_source: random.Random) -> LogView:
    """Return a log with values on both sides of each bound, and on the bounds."""
    now = random_source.uniform(0.0, 1000.0)
    count = random_source.choice(
        [0, 1, 1, 2, 5, MERGE_ABOVE_SEGMENTS, MERGE_ABOVE_SEGMENTS + 1, MERGE_ABOVE_SEGMENTS + 6]
    )
    first = random_source.randrange(1, 50)
    segments = []
    for offset in range(count):
        size = random_source.choice([10, 400, SEGMENT_BYTES // 2, 600, SEGMENT_BYTES])
        until = now + random_source.choice([-2 * LATE_READ_GRACE_S, -LATE_READ_GRACE_S, -1.0, 30.0])
        segments.append((first + offset, size, until))
    active = (first + count, random_source.randrange(SEGMENT_BYTES))
    used = sum(size for _, size, _ in segments) + active[1]
    usable = random_source.choice([used, used + 1, 4 * used // 3, 4 * used // 3 + 2, 3 * used]) + 1
    snapshot_size = random_source.choice([0, 100, 4 * SEGMENT_BYTES, 9 * SEGMENT_BYTES])
    unsnapped = random_source.choice(
        [0, 2 * SEGMENT_BYTES, 2 * SEGMENT_BYTES + 1, snapshot_size // 2, snapshot_size]
    )
    return LogView(
        now,
        tuple(segments),
        active,
        first + random_source.choice([-1, 0, 1, count]),
        unsnapped,
        snapshot_size,
        SEGMENT_BYTES,
        usable,
        random_source.random() < 0.9,
        now + random_source.choice([-1.0, -1.0, 0.0, 1.0]),
    )


def generated_capacity_view(random_source: random.Random) -> CapacityView:
    """Return a capacity view with values on both sides of each bound, and on the bounds."""
    most_keys = 100
    usable = 5000
    most_waiting = 300
    used = random_source.choice([100, 2000, usable - 500, usable])
    return CapacityView(
        random_source.choice([0, 50, most_keys - 1, most_keys, most_keys + 3]),
        most_keys,
        used,
        random_source.choice([0, 500, 501, usable - used, usable - used + 1]),
        usable,
        random_source.choice([0, most_waiting - 1, most_waiting, most_waiting + 1]),
        most_waiting,
        random_source.choice([-1.0, 0.0, 0.0, 0.0, 2.5]),
        random_source.choice([0.0, 0.0, 0.0, 0.01, 3.5]),
        random_source.choice([-20.0, -LATE_READ_GRACE_S, -4.0, 0.0, 12.5]),
    )


def play(seed: int, record: Callable[[object], None]) -> None:
    """Record each decision on generated input."""
    for state in DISK_STATES:
        for event in DISK_INPUTS:
            transition = DISK_TRANSITIONS.get((state, event))
            record(None if transition is None else [str(word) for word in transition])
    random_source = random.Random(seed)
    health = DiskHealth.HEALTHY
    for _ in range(STEPS):
        view = generated_log_view(random_source)
        record(str(decide(view)))
        record([oldest_expired(view), short_of_space(view)])
        if view.segments:
            record(oldest_not_covered(view))
        record(retry_after(generated_capacity_view(random_source)))
        transition = DISK_TRANSITIONS.get((health, random_source.choice(DISK_INPUTS)))
        record(None if transition is None else [str(word) for word in transition])
        if transition is not None:
            health = transition[0]
