"""The bytes of the log: segments of frames, frames of records. No I/O.

    segment = magic:12 frame...           magic = "VTKEPT" major minor, CRC32C of these
    frame   = length:4 crc:4 sequence:4 check:4 payload      little-endian; crc is CRC32C of the payload,
              check is CRC32C of the three numbers and the segment's number, so that a frame that belongs to
              another segment is not accepted
    payload = msgpack arrays, one after another; the first element of each is its kind

One write and one sync make one frame durable. Sequence numbers continue across segments.
"""

from __future__ import annotations

import struct
from typing import Any, Final, NamedTuple

import google_crc32c
import msgpack

from .errors import NewerFormatError
from .window_clock import ClockReading, StoreTimestamp

MAJOR_VERSION: Final = 1
MINOR_VERSION: Final = 0
_KIND_SIZE: Final = 6  # bytes that identify the kind of a file
_MAGIC_SIZE: Final = 12  # bytes: the kind, two of the version, four of a CRC


def file_magic(kind: bytes, major: int, minor: int) -> bytes:
    """Return the first 12 bytes of a file.

    They have a CRC of their own, so that a damaged byte is not mistaken for a newer version.
    """
    first = kind + bytes((major, minor))
    crc: int = google_crc32c.value(first)
    return first + crc.to_bytes(4, "little")


def format_version(data: bytes, kind: bytes) -> tuple[int, int] | None:
    """Return a file's major and minor version, or None where its first bytes are not those of this kind."""
    if len(data) < _MAGIC_SIZE or data[:_KIND_SIZE] != kind:
        return None
    major = data[_KIND_SIZE]
    minor = data[_KIND_SIZE + 1]
    return (major, minor) if file_magic(kind, major, minor) == data[:_MAGIC_SIZE] else None


def check_format(data: bytes, kind: bytes, what: str) -> bool:
    """Return whether the bytes begin as a file of this kind; `what` names the file in the error.

    Raises:
        NewerFormatError: The file's major version is newer than this program's.
    """
    found = format_version(data, kind)
    if found is not None and found[0] > MAJOR_VERSION:
        raise NewerFormatError(what, found[0], MAJOR_VERSION)
    return found is not None


LOG_KIND: Final = b"VTKEPT"
LOG_MAGIC: Final = file_magic(LOG_KIND, MAJOR_VERSION, MINOR_VERSION)
FRAME_HEADER: Final = struct.Struct("<IIII")
_FRAME_NUMBERS: Final = struct.Struct("<III")
# Bytes of a frame: far above any batch, so that a damaged length is recognized.
MAX_FRAME_SIZE: Final = 16 << 20
# Kinds of records on disk. Plain integers: they are compared for each record.
HEAD: Final = 0
TIMESTAMP: Final = 1
INTENT: Final = 2
RESULT: Final = 3
FAILED: Final = 4
UNSENT: Final = 5
IN_DOUBT: Final = 6
_pack = msgpack.Packer(use_bin_type=True).pack


class SegmentHead(NamedTuple):
    """The first record of a segment."""

    segment: int
    # Pairs of a segment and its number of good bytes, for the segments since the previous head.
    segment_ends: tuple[tuple[int, int], ...]
    boot_id: str
    key_check: bytes  # the keyed hash of a known text, which identifies the directory's key
    longest_window: float  # seconds, the longest window configured at that time


class IntentRecord(NamedTuple):
    """An execution with this key is about to be sent."""

    digest: bytes
    until: int  # store time in seconds at which the window ends
    execution_id: bytes  # 8 bytes
    workload: str


class ResultRecord(NamedTuple):
    """The execution ended with a result."""

    digest: bytes
    until: int  # store time, seconds
    body: bytes
    crc: int  # CRC32C of the body: a duplicate is answered from this record alone, without its frame's CRC


class FailedRecord(NamedTuple):
    """The execution ended without a result."""

    digest: bytes
    until: int  # store time, seconds


class UnsentRecord(NamedTuple):
    """The execution of a logged intent never started."""

    digest: bytes


class InDoubtRecord(NamedTuple):
    """Records were lost: until this time any unknown key may have been executed before."""

    until: float  # store time, seconds


class UnknownRecord(NamedTuple):
    """A record of a kind that only a newer minor version knows; it is skipped."""

    kind: object


KeyRecord = IntentRecord | ResultRecord | FailedRecord | UnsentRecord
Record = SegmentHead | KeyRecord | InDoubtRecord | UnknownRecord | StoreTimestamp
# The offset, size, kind and fields of a record: a plain tuple, as recovery reads millions of them.
RawRecord = tuple[int, int, int, tuple[Any, ...]]

_RECORD_TYPES: Final[dict[int, Any]] = {
    HEAD: SegmentHead,
    INTENT: IntentRecord,
    RESULT: ResultRecord,
    FAILED: FailedRecord,
    UNSENT: UnsentRecord,
    IN_DOUBT: InDoubtRecord,
}
KIND_OF_TYPE: Final[dict[type, int]] = {record_type: kind for kind, record_type in _RECORD_TYPES.items()}


class DecodedRecord(NamedTuple):
    """A record and its position in its payload."""

    offset: int  # bytes
    size: int  # bytes
    record: Record


def encode_record(record: Record) -> bytes:
    """Return a record's bytes."""
    if isinstance(record, StoreTimestamp):
        packed: bytes = _pack([TIMESTAMP, record.store_time, record.reading.wall, record.reading.boot])
    else:
        packed = _pack([KIND_OF_TYPE[type(record)], *record])
    return packed


def make_result(digest: bytes, until: int, body: bytes) -> ResultRecord:
    """Return the record of a result, with its body's checksum."""
    return ResultRecord(digest, until, body, google_crc32c.value(body))


def parse_records(payload: bytes) -> list[RawRecord]:
    """Split a payload into its records.

    Raises:
        ValueError: The bytes are not records. With a matching CRC this is a fault of the writer.
    """
    unpacker = msgpack.Unpacker(raw=False, use_list=False, max_buffer_size=MAX_FRAME_SIZE)
    unpacker.feed(payload)
    parsed: list[RawRecord] = []
    offset = 0
    try:
        for fields in unpacker:
            end = unpacker.tell()
            parsed.append((offset, end - offset, fields[0], fields[1:]))
            offset = end
    except (msgpack.UnpackException, TypeError, IndexError, UnicodeDecodeError) as error:
        raise ValueError(f"record {len(parsed)}: {type(error).__name__}: {error}") from None
    if offset != len(payload):
        raise ValueError("the last record is incomplete")
    return parsed


def decode_records(payload: bytes, boot_id: str = "") -> list[DecodedRecord]:
    """Decode all records of a payload; `boot_id` is that of the segment's head, for the timestamps.

    Raises:
        ValueError: The bytes are not records.
    """
    try:
        return [
            DecodedRecord(offset, size, _decode(kind, fields, boot_id))
            for offset, size, kind, fields in parse_records(payload)
        ]
    except (TypeError, IndexError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def _decode(kind: int, fields: tuple[Any, ...], boot_id: str) -> Record:
    if kind == TIMESTAMP:
        return StoreTimestamp(fields[0], ClockReading(fields[1], fields[2], boot_id))
    record_type = _RECORD_TYPES.get(kind)
    if record_type is None:
        return UnknownRecord(kind)
    # Fields that a newer minor version appends are skipped.
    record: Record = record_type(*fields[: len(record_type._fields)])
    return record


def decode_single(data: bytes) -> Record | None:
    """Decode a record that was read without its frame, or return None where it is incomplete or damaged."""
    try:
        ((_, _, record),) = decode_records(data)
    except ValueError:
        return None
    if isinstance(record, ResultRecord) and google_crc32c.value(record.body) != record.crc:
        return None
    return record


def encode_frame(segment: int, sequence: int, payload: bytes) -> bytes:
    """Return the bytes of a frame."""
    numbers = _FRAME_NUMBERS.pack(len(payload), google_crc32c.value(payload), sequence & 0xFFFFFFFF)
    check: int = google_crc32c.value(numbers + segment.to_bytes(4, "little"))
    return numbers + check.to_bytes(4, "little") + payload


class Frame(NamedTuple):
    """A frame whose checks all passed."""

    offset: int  # of its payload in the segment, bytes
    sequence: int
    payload: bytes
    end: int  # the offset at which the next frame begins


class FrameHeader(NamedTuple):
    """The numbers before a payload."""

    length: int  # of the payload, bytes
    crc: int  # CRC32C of the payload
    sequence: int


def read_frame_header(data: bytes, offset: int, segment: int) -> FrameHeader | None:
    """Return the frame header at an offset, or None where there is no good one."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    length, crc, sequence, check = FRAME_HEADER.unpack_from(data, offset)
    numbers = bytes(data[offset : offset + _FRAME_NUMBERS.size]) + segment.to_bytes(4, "little")
    if length > MAX_FRAME_SIZE or google_crc32c.value(numbers) != check:
        return None
    return FrameHeader(length, crc, sequence)


def read_frame(data: bytes, offset: int, segment: int) -> Frame | None:
    """Return the frame that begins at an offset, or None where there is no good one."""
    header = read_frame_header(data, offset, segment)
    if header is None or offset + FRAME_HEADER.size + header.length > len(data):
        return None
    start = offset + FRAME_HEADER.size
    payload = bytes(data[start : start + header.length])
    if google_crc32c.value(payload) != header.crc:
        return None
    return Frame(start, header.sequence, payload, start + header.length)
