"""The snapshot's bytes: the index as it lay, with the place in the log from which to read on. No I/O.

    file  = magic:12 head-length:4 head-crc:4 head shard... end     head: msgpack; shard = number:4 length:4
    crc:4 bytes;
            end = a shard numbered 0xFFFFFFFF with the count of shards as its bytes

Shards are copied one after another while the store goes on. What changed meanwhile stands in the log behind
the position that was noted first, and reading it again changes nothing twice.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import google_crc32c
import msgpack

from . import records
from .index import Index
from .recovery import check_version
from .window_clock import ClockReading, StoreTimestamp

KIND = b"VTSNAP"
MAGIC = records.preamble(KIND, records.MAJOR, records.MINOR)
LENGTHS, PART = struct.Struct("<II"), struct.Struct("<III")
END = 0xFFFFFFFF
MOST_HEAD = 64 << 20


class Snapshot(NamedTuple):
    position: tuple  # (segment, offset) of the first frame that it does not hold
    sequence: int  # of the last one that it does
    stamp: StoreTimestamp | None
    segments: list  # (number, size, longest until)
    unsettled: dict  # digest -> (call, workload)
    unsure: float
    longest: float
    check: bytes
    index: Index | None


def head(s):
    stamp = None if s.stamp is None else [s.stamp.store_time, *s.stamp.reading]
    data = msgpack.packb(
        [
            list(s.position),
            s.sequence,
            stamp,
            s.segments,
            [[digest, *what] for digest, what in s.unsettled.items()],
            s.unsure,
            s.longest,
            s.check,
        ],
        use_bin_type=True,
    )
    return MAGIC + LENGTHS.pack(len(data), google_crc32c.value(data)) + data


def part(number, data):
    return PART.pack(number, len(data), google_crc32c.value(data)) + data


def end(count):
    return part(END, count.to_bytes(8, "little"))


def read(data):
    """A Snapshot, or the reason (a text) why the bytes are none. Raises Refused on a newer format."""
    if not check_version(data, KIND, "the snapshot"):
        return "no magic"
    at = len(MAGIC)
    try:
        length, crc = LENGTHS.unpack_from(data, at)
        at += LENGTHS.size
        body = data[at : at + length]
        if length > MOST_HEAD or len(body) != length or google_crc32c.value(body) != crc:
            return "its head is damaged"
        position, sequence, stamp, segments, unsettled, unsure, longest, check = msgpack.unpackb(
            body, raw=False, use_list=False
        )
        at, index, view, parts = at + length, Index(), memoryview(data), 0
        while True:
            number, length, crc = PART.unpack_from(data, at)
            at += PART.size
            shard = bytes(view[at : at + length])
            if len(shard) != length or google_crc32c.value(shard) != crc:
                return f"shard {number} is damaged"
            at += length
            if number == END:
                if int.from_bytes(shard, "little") != parts:
                    return "shards are missing"
                break
            index.load(number, shard)
            parts += 1
    except (struct.error, ValueError, TypeError, msgpack.UnpackException) as error:
        return f"cut or damaged: {error}"
    stamp = None if stamp is None else StoreTimestamp(stamp[0], ClockReading(*stamp[1:]))
    return Snapshot(
        tuple(position),
        sequence,
        stamp,
        [tuple(one) for one in segments],
        {digest: (call, workload) for digest, call, workload in unsettled},
        unsure,
        longest,
        check,
        index,
    )
