"""The disk and memory that the store may use, derived from the operator's settings."""

from __future__ import annotations

from typing import Final, NamedTuple

# Memory for the process without the store's data: 20 MB with its libraries while idle, the rest under load.
MIN_PROCESS_MEMORY_BYTES: Final = 28_000_000
# Segments that must fit into `disk`: one written, one compacted, one set aside; the others hold entries.
MIN_SEGMENTS: Final = 8
ROW_SIZE: Final = 32  # bytes of an index row
# Share of a shard's rows in use from which it is doubled; a look-up probes under three rows on average.
MAX_LOAD_FACTOR: Final = 0.75
MAX_RECORD_SIZE: Final = 4096 + 80  # bytes of the largest record: a result of 4096 bytes and its other fields
INTENT_SIZE: Final = 64  # bytes of an intent's record
# Bytes of memory per key in the worst case: in a shard that was just doubled, and in the timing wheel.
KEY_MEMORY: Final = 2 * ROW_SIZE / MAX_LOAD_FACTOR + 24
# Share of the memory for records waiting to be written: the intents and results during one slow sync.
WAITING_SHARE: Final = 0.25
MIN_KEYS: Final = 1024  # however little memory is given
MIN_WAITING: Final = 65_536  # bytes, however little memory is given


class StoreLimits(NamedTuple):
    """The limits of one store."""

    disk: int  # bytes of all files
    segment: int  # bytes of a segment from which the next one is begun
    keys: int  # maximum number of stored keys
    waiting: int  # bytes of records that are not durable yet
    damaged: int = 2  # damaged segments that are kept for inspection; older ones are deleted


def derive_limits(disk: int, memory: int, segment: int) -> StoreLimits:
    """Derive the limits from bytes of disk, bytes of memory and bytes of a segment."""
    keys = int((1 - WAITING_SHARE) * memory / KEY_MEMORY)
    return StoreLimits(disk, segment, max(MIN_KEYS, keys), max(MIN_WAITING, int(WAITING_SHARE * memory)))


def usable_log_bytes(limits: StoreLimits) -> int:
    """Return the bytes of log that may hold entries which must not be dropped.

    One segment being written, one being compacted and two snapshots of all keys must fit as well.
    """
    snapshot = min(limits.keys * ROW_SIZE * 2, limits.disk // 4)
    return limits.disk - 2 * limits.segment - 2 * snapshot
