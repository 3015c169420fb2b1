"""The bytes of a snapshot: the index, and the position in the log at which replay begins. No I/O.

    file  = magic:12 head-length:4 head-crc:4 head shard... end
    head  = msgpack; see `encode_head`
    shard = number:4 length:4 crc:4 bytes
    end   = a shard numbered 0xFFFFFFFF with the count of shards as its bytes

Shards are copied one after another while the store continues to work (a fuzzy snapshot). Changes made
meanwhile are in the log after the position in the head, and replaying them again is idempotent.
"""

from __future__ import annotations

import struct
from typing import Any, Final, NamedTuple

import google_crc32c
import msgpack

from . import records
from .compaction_policy import SegmentView
from .errors import SnapshotDamagedError
from .index import Index
from .window_clock import ClockReading, StoreTimestamp

SNAPSHOT_KIND: Final = b"VTSNAP"
SNAPSHOT_MAGIC: Final = records.file_magic(SNAPSHOT_KIND, records.MAJOR_VERSION, records.MINOR_VERSION)
HEAD_HEADER: Final = struct.Struct("<II")
SHARD_HEADER: Final = struct.Struct("<III")
END_NUMBER: Final = 0xFFFFFFFF
# Bytes of a head: far above the size of all unfinished executions, so that a damaged length is recognized.
MAX_HEAD_SIZE: Final = 64 << 20


class LogPosition(NamedTuple):
    """A position in the log."""

    segment: int
    offset: int  # bytes


# The execution id and the workload: a plain tuple, as one is created for each intent.
UnfinishedExecution = tuple[bytes, str]


class Snapshot(NamedTuple):
    """The content of a snapshot."""

    position: LogPosition  # of the first frame that it does not cover
    sequence: int  # of the last frame that it covers
    timestamp: StoreTimestamp | None
    segments: list[SegmentView]
    unfinished: dict[bytes, UnfinishedExecution]  # by digest
    in_doubt_until: float  # store time, seconds
    longest_window: float  # seconds
    key_check: bytes
    entries: Index | None  # None while it is written: its shards follow one by one


def encode_head(head: Snapshot) -> bytes:
    """Return the snapshot's bytes up to its first shard."""
    timestamp = None
    if head.timestamp is not None:
        timestamp = [head.timestamp.store_time, *head.timestamp.reading]
    data: bytes = msgpack.packb(
        [
            list(head.position),
            head.sequence,
            timestamp,
            head.segments,
            [[digest, *execution] for digest, execution in head.unfinished.items()],
            head.in_doubt_until,
            head.longest_window,
            head.key_check,
        ],
        use_bin_type=True,
    )
    header = HEAD_HEADER.pack(len(data), google_crc32c.value(data))
    return SNAPSHOT_MAGIC + header + data


def encode_shard(number: int, data: bytes) -> bytes:
    """Return the bytes of one shard with its header."""
    return SHARD_HEADER.pack(number, len(data), google_crc32c.value(data)) + data


def encode_end(shard_count: int) -> bytes:
    """Return the last bytes of a snapshot with this many shards."""
    return encode_shard(END_NUMBER, shard_count.to_bytes(8, "little"))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        NewerFormatError: It was written by a newer version.
        SnapshotDamagedError: The bytes are not a complete snapshot.
    """
    if not records.check_format(data, SNAPSHOT_KIND, "the snapshot"):
        raise SnapshotDamagedError("no magic")
    try:
        fields, offset = _decode_head(data)
        position, sequence, timestamp, segments, unfinished, in_doubt_until, longest, key_check = fields
        index = _decode_shards(data, offset)
    except (struct.error, ValueError, TypeError, msgpack.UnpackException) as error:
        raise SnapshotDamagedError(f"incomplete or damaged: {error}") from None
    if timestamp is not None:
        timestamp = StoreTimestamp(timestamp[0], ClockReading(*timestamp[1:]))
    return Snapshot(
        LogPosition(*position),
        sequence,
        timestamp,
        [SegmentView(*segment) for segment in segments],
        {digest: (execution_id, workload) for digest, execution_id, workload in unfinished},
        in_doubt_until,
        longest,
        key_check,
        index,
    )


def _decode_head(data: bytes) -> tuple[Any, int]:
    """Return the head's fields and the offset of the first shard."""
    offset = len(SNAPSHOT_MAGIC)
    length, crc = HEAD_HEADER.unpack_from(data, offset)
    offset += HEAD_HEADER.size
    head = data[offset : offset + length]
    if length > MAX_HEAD_SIZE or len(head) != length or google_crc32c.value(head) != crc:
        raise SnapshotDamagedError("its head is damaged")
    return msgpack.unpackb(head, raw=False, use_list=False), offset + length


def _decode_shards(data: bytes, offset: int) -> Index:
    """Return the index whose shards begin at an offset."""
    index = Index()
    view = memoryview(data)
    count = 0
    while True:
        number, length, crc = SHARD_HEADER.unpack_from(data, offset)
        offset += SHARD_HEADER.size
        shard = bytes(view[offset : offset + length])
        if len(shard) != length or google_crc32c.value(shard) != crc:
            raise SnapshotDamagedError(f"shard {number} is damaged")
        offset += length
        if number == END_NUMBER:
            if int.from_bytes(shard, "little") != count:
                raise SnapshotDamagedError("shards are missing")
            return index
        index.load_shard(number, shard)
        count += 1
