"""What the store may take of disk and memory, derived from the operator's two figures."""

from __future__ import annotations

from typing import NamedTuple

PROCESS_LEAST = 28_000_000  # bytes for the process with the store's libraries: 20 MB idle, the rest for work
LEAST_SEGMENTS = 8  # that fit into `disk`: one is written, one compacted, one set aside, the rest is kept
ROW = 32  # bytes of an index row
LOAD = 0.75  # share of a shard's rows in use before it is doubled; probes stay under three at the mean
RECORD = 4096 + 80  # bytes of the largest record: a result and what frames it
INTENT = 64  # bytes of an intent's record
KEY = 2 * ROW / LOAD + 24  # bytes of memory a key takes at the worst: a shard just doubled, the wheel
WAITING = 0.25  # of the memory, for what waits for the disk: intents and results of one slow sync


class StoreBounds(NamedTuple):
    disk: int
    segment: int
    keys: int  # kept at once
    waiting: int  # bytes handed to the disk and not yet durable
    damaged: int = 2  # segments set aside that stay for a look; older ones go


def derive(disk, memory, segment):
    keys = int((1 - WAITING) * memory / KEY)
    return StoreBounds(disk, segment, max(1024, keys), max(65536, int(WAITING * memory)))


def usable(b):
    """Bytes of log that may hold what must not be dropped: all but one segment being written, one being
    compacted, and two snapshots of all keys."""
    return b.disk - 2 * b.segment - 2 * min(b.keys * ROW * 2, b.disk // 4)
