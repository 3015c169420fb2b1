"""The log's bytes: segments of frames, frames of records. No I/O.

    segment = magic:12 frame...           magic = "VTKEPT" major minor, CRC32C of these
    frame   = length:4 crc:4 sequence:4 check:4 payload      little-endian; crc is CRC32C of the payload,
    check is
              CRC32C of the three numbers and the segment's number, so that no frame of another segment passes
    payload = msgpack arrays, one after another; the first element of each is its kind

A frame is what one write and one sync made durable. Sequence numbers go on through all segments.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import google_crc32c
import msgpack

from .window_clock import ClockReading, StoreTimestamp

MAJOR, MINOR = 1, 0


def preamble(kind, major, minor):
    """The first 12 bytes of a file. Checked by themselves, so that a spoilt byte is no newer version."""
    first = kind + bytes((major, minor))
    return first + google_crc32c.value(first).to_bytes(4, "little")


def version(data, kind):
    """(major, minor) of a file's bytes, or None where they do not begin as this kind's do."""
    if len(data) < 12 or data[:6] != kind or preamble(kind, data[6], data[7]) != data[:12]:
        return None
    return data[6], data[7]


KIND = b"VTKEPT"
MAGIC = preamble(KIND, MAJOR, MINOR)
HEADER = struct.Struct("<IIII")
NUMBERS = struct.Struct("<III")
MOST_FRAME = 16 << 20  # bytes: far above what may wait for the disk, so that a length read amiss is told
HEAD, STAMP, INTENT, RESULT, FAILED, UNSENT, UNSURE = range(7)
_pack = msgpack.Packer(use_bin_type=True).pack


class Head(NamedTuple):
    """The first record of a segment."""

    segment: int
    ends: tuple  # (segment, bytes of it that are good) for those before it since the last head
    boot_id: str
    check: bytes  # what the key of the digests makes of a known text
    longest: float  # s of the longest window then


class Intent(NamedTuple):
    digest: bytes
    until: int
    call: bytes  # 8 bytes
    workload: str


class Result(NamedTuple):
    digest: bytes
    until: int
    body: bytes
    crc: int  # of the body: a record is read alone when it is answered from


class Failed(NamedTuple):
    digest: bytes
    until: int


class Unsent(NamedTuple):
    digest: bytes


class Unsure(NamedTuple):
    """Something was lost: what is not known until then may have run."""

    until: float


class Other(NamedTuple):
    """A kind that a newer minor version has: passed over."""

    kind: object


_TYPES = {HEAD: Head, INTENT: Intent, RESULT: Result, FAILED: Failed, UNSENT: Unsent, UNSURE: Unsure}
KINDS = {of: kind for kind, of in _TYPES.items()}


def encode(record):
    if isinstance(record, StoreTimestamp):
        return _pack([STAMP, record.store_time, record.reading.wall, record.reading.boot])
    return _pack([KINDS[type(record)], *record])


def result(digest, until, body):
    return Result(digest, until, body, google_crc32c.value(body))


def raw(payload):
    """(offset, size, kind, fields) of each record. Raises ValueError on what is none, which a good CRC rules
    out but for a fault of the writer."""
    unpacker = msgpack.Unpacker(raw=False, use_list=False, max_buffer_size=MOST_FRAME)
    unpacker.feed(payload)
    out, at = [], 0
    try:
        for fields in unpacker:
            end = unpacker.tell()
            out.append((at, end - at, fields[0], fields[1:]))
            at = end
    except (msgpack.UnpackException, TypeError, IndexError, UnicodeDecodeError) as error:
        raise ValueError(f"record {len(out)}: {type(error).__name__}: {error}") from None
    if at != len(payload):
        raise ValueError("a record is cut")
    return out


def decode(payload, boot_id=""):
    """(offset, size, record) of each record. Raises ValueError as `raw` does."""
    try:
        return [(at, size, _record(kind, rest, boot_id)) for at, size, kind, rest in raw(payload)]
    except (TypeError, IndexError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def _record(kind, rest, boot_id):
    if kind == STAMP:
        return StoreTimestamp(rest[0], ClockReading(rest[1], rest[2], boot_id))
    of = _TYPES.get(kind)
    return of(*rest[: len(of._fields)]) if of is not None else Other(kind)


def one(data):
    """The record of bytes that were read alone, or None where they are not whole."""
    try:
        ((_, _, record),) = decode(data)
    except ValueError:
        return None
    if isinstance(record, Result) and google_crc32c.value(record.body) != record.crc:
        return None
    return record


def frame(segment, sequence, payload):
    numbers = NUMBERS.pack(len(payload), google_crc32c.value(payload), sequence & 0xFFFFFFFF)
    check = google_crc32c.value(numbers + segment.to_bytes(4, "little"))
    return numbers + check.to_bytes(4, "little") + payload


class Frame(NamedTuple):
    offset: int  # of its payload in the segment
    sequence: int
    payload: bytes
    end: int  # where the next one begins


def header_at(data, at, segment):
    """(length, crc, sequence) of a frame's header, or None where there is no good one."""
    if at + HEADER.size > len(data):
        return None
    length, crc, sequence, check = HEADER.unpack_from(data, at)
    numbers = bytes(data[at : at + NUMBERS.size]) + segment.to_bytes(4, "little")
    if length > MOST_FRAME or google_crc32c.value(numbers) != check:
        return None
    return length, crc, sequence


def frame_at(data, at, segment):
    """The good frame that begins there, or None."""
    header = header_at(data, at, segment)
    if header is None or at + HEADER.size + header[0] > len(data):
        return None
    start = at + HEADER.size
    payload = bytes(data[start : start + header[0]])
    if google_crc32c.value(payload) != header[1]:
        return None
    return Frame(start, header[2], payload, start + header[0])
