"""Decisions about compaction of the log and about capacity for one more key, without I/O.

Only the oldest segment is dropped or compacted, so that the remaining numbers have no gap and a missing
segment is recognized as damage. A segment is removed only when a durable snapshot covers all its
records.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

# An entry is kept this long after its window, for duplicates that arrived in the window and were read later.
LATE_READ_GRACE_S: Final = 5.0
# Number of segments above which compaction merges small ones: each start of the server begins a new segment.
MERGE_ABOVE_SEGMENTS: Final = 24
# Share of the usable bytes above which the oldest segment is compacted.
HIGH_WATER_SHARE: Final = 0.75
# Compaction pauses when more than this share of a segment had to be copied, as little space is freed.
MAX_COPIED_SHARE: Final = 0.9
# Length of that pause: without it a full log would be rewritten continuously.
COMPACTION_PAUSE_S: Final = 10.0
# The time after which a rejected request may be retried, where nothing more exact is known.
DEFAULT_RETRY_AFTER_S: Final = 1.0


class LogAction(StrEnum):
    """A background action on the log."""

    NOTHING = "nothing"
    SNAPSHOT = "snapshot"
    DROP = "drop"
    COMPACT = "compact"


class SegmentView(NamedTuple):
    """A closed segment as the policy sees it."""

    number: int
    size: int  # bytes
    longest_until: float  # store time in seconds at which the last of its windows ends


class LogView(NamedTuple):
    """The input of `decide`."""

    now: float  # store time, seconds
    segments: tuple[SegmentView, ...]  # the oldest first, without the active one
    active: tuple[int, int]  # number and size in bytes of the segment being written
    covered: int  # all segments below this number are covered by the durable snapshot
    unsnapshotted: int  # bytes of log after the snapshot's position
    snapshot_size: int  # bytes
    segment_limit: int  # bytes at which a segment is full
    usable: int  # bytes that the log may use
    healthy: bool  # the disk accepts writes
    pause_until: float  # store time, seconds: no compaction to free space before it


def oldest_expired(view: LogView) -> bool:
    """Return whether the oldest segment holds no entry that is still in its window."""
    return bool(view.segments) and view.now > view.segments[0][2] + LATE_READ_GRACE_S


def short_of_space(view: LogView) -> bool:
    """Return whether space is short or there are many small segments, outside a pause."""
    if not view.segments or view.now < view.pause_until:
        return False
    used = sum(size for _, size, _ in view.segments) + view.active[1]
    many_small = len(view.segments) > MERGE_ABOVE_SEGMENTS and view.segments[0][1] < view.segment_limit / 2
    return many_small or used > HIGH_WATER_SHARE * view.usable


def oldest_not_covered(view: LogView) -> bool:
    """Return whether the oldest segment has records that no durable snapshot covers."""
    return view.segments[0][0] >= view.covered


def decide(view: LogView) -> LogAction:
    """Return the next background action; only one runs at a time."""
    if not view.healthy:
        return LogAction.NOTHING
    if oldest_expired(view):
        return LogAction.SNAPSHOT if oldest_not_covered(view) else LogAction.DROP
    if short_of_space(view):
        return LogAction.SNAPSHOT if oldest_not_covered(view) else LogAction.COMPACT
    if view.unsnapshotted > max(2 * view.segment_limit, view.snapshot_size / 2):
        return LogAction.SNAPSHOT
    return LogAction.NOTHING


class CapacityView(NamedTuple):
    """The input of `retry_after`."""

    keys: int  # stored, and reserved for admitted requests
    max_keys: int
    used: int  # bytes of log
    reserved: int  # bytes, if every admitted request ended with the longest result
    usable: int  # bytes
    waiting: int  # bytes not yet written to the disk
    max_waiting: int  # bytes
    in_doubt_for: float  # seconds until no key is in doubt because of lost records
    disk_retry_in: float  # seconds until the disk is tried again; 0 while it accepts writes
    earliest_end_in: float  # seconds until the first key's window ends


def retry_after(view: CapacityView) -> float:
    """Return the seconds until one more key may be accepted; 0 where there is capacity now."""
    if view.in_doubt_for > 0:
        return view.in_doubt_for
    if view.disk_retry_in > 0:
        return view.disk_retry_in
    if view.keys >= view.max_keys or view.used + view.reserved > view.usable:
        return max(DEFAULT_RETRY_AFTER_S, view.earliest_end_in + LATE_READ_GRACE_S)
    return DEFAULT_RETRY_AFTER_S if view.waiting > view.max_waiting else 0.0


class DiskHealth(StrEnum):
    """The health of the log's disk; the values appear in the answer of `status`.

    A descriptor whose write or sync failed is never used again: what reached the disk can't be known.
    """

    HEALTHY = "well"
    BACKING_OFF = "resting"
    REOPENING = "opening"


class DiskEvent(StrEnum):
    """The inputs of the disk's health."""

    FAILED = "failed"
    RETRY = "retry"
    REOPENED = "opened"


class DiskEffect(StrEnum):
    """What the log does when the disk's health changes."""

    ABANDON = "abandon"
    REOPEN = "open"
    RESUME = "resume"


# A missing pair changes nothing.
DISK_TRANSITIONS: Final[dict[tuple[DiskHealth, DiskEvent], tuple[DiskHealth, DiskEffect]]] = {
    (DiskHealth.HEALTHY, DiskEvent.FAILED): (DiskHealth.BACKING_OFF, DiskEffect.ABANDON),
    (DiskHealth.REOPENING, DiskEvent.FAILED): (DiskHealth.BACKING_OFF, DiskEffect.ABANDON),
    (DiskHealth.BACKING_OFF, DiskEvent.RETRY): (DiskHealth.REOPENING, DiskEffect.REOPEN),
    (DiskHealth.REOPENING, DiskEvent.REOPENED): (DiskHealth.HEALTHY, DiskEffect.RESUME),
}
