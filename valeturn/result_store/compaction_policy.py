"""What is done with the log in the background, and whether there is room for one more key. No I/O.

Segments are a queue: only the oldest is dropped or compacted, so that those there are follow one another
without a gap and a missing one is told as damage. One goes only when a durable snapshot holds all that it
said.
"""

from __future__ import annotations

from typing import NamedTuple

UNREAD = 5.0  # s that an entry stays past its window, for repeats that came in time and were read late
MANY = 24  # segments, past which small ones are put together: each start begins one
FULL = 0.75  # of what may be used, past which the oldest is looked through for what is over
FUTILE = 0.9  # share of a compacted segment that had to be copied, from which the next waits
REST = 10.0  # s of that wait: without it a full log would be written round and round
NOTHING, SNAPSHOT, DROP, COMPACT = "nothing", "snapshot", "drop", "compact"


class View(NamedTuple):
    """What the decision looks at."""

    now: float  # store time
    segments: tuple  # (number, size, longest until), the oldest first, without the one that is written
    active: tuple  # (number, size) of that one
    covered: int  # all segments below this number stand in the durable snapshot
    unsnapped: int  # bytes of log behind the snapshot's position
    snapshot_size: int
    segment: int  # bytes at which a segment is full
    usable: int
    well: bool  # the disk takes writes
    rest_until: float


def over(view):
    """The oldest segment holds nothing that is still in its window."""
    return bool(view.segments) and view.now > view.segments[0][2] + UNREAD


def crowded(view):
    """Space runs out, or there are many small files."""
    used = sum(size for _, size, _ in view.segments) + view.active[1]
    many = len(view.segments) > MANY and view.segments[0][1] < view.segment / 2
    return bool(view.segments) and view.now >= view.rest_until and (many or used > FULL * view.usable)


def uncovered(view):
    return view.segments[0][0] >= view.covered


# Read from the top: the first whose conditions all hold is done.
RULES = (
    ((lambda v: not v.well,), NOTHING),
    ((over, uncovered), SNAPSHOT),
    ((over,), DROP),
    ((crowded, uncovered), SNAPSHOT),
    ((crowded,), COMPACT),
    ((lambda v: v.unsnapped > max(2 * v.segment, v.snapshot_size / 2),), SNAPSHOT),
)


def decide(view):
    for conditions, action in RULES:
        if all(condition(view) for condition in conditions):
            return action
    return NOTHING


class Room(NamedTuple):
    keys: int  # kept, and promised to those that were let in
    most_keys: int
    used: int  # bytes of log
    promised: int  # bytes, were all that was let in to end with the longest result
    usable: int
    waiting: int  # bytes that wait for the disk
    most_waiting: int
    sure_in: float  # s until nothing is in doubt for lost records
    well_in: float  # s until the disk is tried again; 0 while it takes writes
    earliest_in: float  # s until the first key's window ends


LATER = 1.0  # s to come back where nothing better is known


def room_in(r):
    """Seconds until one more key may find room; 0 where there is room now."""
    if r.sure_in > 0:
        return r.sure_in
    if r.well_in > 0:
        return r.well_in
    if r.keys >= r.most_keys or r.used + r.promised > r.usable:
        return max(LATER, r.earliest_in + UNREAD)
    return LATER if r.waiting > r.most_waiting else 0.0


# The disk's health. A descriptor whose write or sync failed is never used again: what it took can't be known.
WELL, RESTING, OPENING = "well", "resting", "opening"
FAILED, RETRY, OPENED = "failed", "retry", "opened"
HEALTH = {
    (WELL, FAILED): (RESTING, "abandon"),
    (OPENING, FAILED): (RESTING, "abandon"),
    (RESTING, RETRY): (OPENING, "open"),
    (OPENING, OPENED): (WELL, "resume"),
}
