"""What the store may take of disk and memory, derived from the operator's figures."""

from __future__ import annotations

from typing import Final, NamedTuple

# Bytes for the process with the store's libraries: 20 MB while idle, the rest for work.
MIN_PROCESS_MEMORY: Final = 28_000_000
# Segments that fit into `disk`: one is written, one compacted, one set aside, the others hold entries.
MIN_SEGMENTS: Final = 8
ROW_SIZE: Final = 32  # bytes of an index row
# Share of a shard's rows in use from which it is doubled; a look-up probes under three rows on average.
MAX_LOAD_FACTOR: Final = 0.75
MAX_RECORD_SIZE: Final = 4096 + 80  # bytes of the largest record: a result and what frames it
INTENT_SIZE: Final = 64  # bytes of an intent's record
# Bytes of memory a key takes in the worst case: in a shard just doubled, and in the timing wheel.
KEY_MEMORY: Final = 2 * ROW_SIZE / MAX_LOAD_FACTOR + 24
# Share of the memory for what waits for the disk: the intents and results of one slow sync.
WAITING_SHARE: Final = 0.25
MIN_KEYS: Final = 1024  # however little memory is given
MIN_WAITING: Final = 65_536  # bytes, however little memory is given


class StoreLimits(NamedTuple):
    """The limits of one store."""

    disk: int  # bytes of all files
    segment: int  # bytes of a segment from which the next one is begun
    keys: int  # stored at once
    waiting: int  # bytes handed to the disk that are not yet durable
    damaged: int = 2  # damaged segments that are kept for inspection; older ones are deleted


def derive_limits(disk: int, memory: int, segment: int) -> StoreLimits:
    """Derive the limits from bytes of disk, bytes of memory and bytes of a segment."""
    keys = int((1 - WAITING_SHARE) * memory / KEY_MEMORY)
    return StoreLimits(disk, segment, max(MIN_KEYS, keys), max(MIN_WAITING, int(WAITING_SHARE * memory)))


def usable_log_bytes(limits: StoreLimits) -> int:
    """Return the bytes of log that may hold entries which must not be dropped.

    One segment that is written, one that is compacted and two snapshots of all keys must fit beside them.
    """
    snapshot = min(limits.keys * ROW_SIZE * 2, limits.disk // 4)
    return limits.disk - 2 * limits.segment - 2 * snapshot
