"""Reads the frames of one segment, and distinguishes a torn tail from damage.

An incomplete frame is a torn tail, which ends the log, only where nothing can have followed it: either it
extends past the end of the last file, as after a killed process, or the machine was rebooted since, which may
leave any part of the last write. Everything else is damage, and reading continues after it.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, NamedTuple

from . import records

# Sequence numbers searched for after a bad frame: searching a whole segment for one takes a millisecond.
MAX_SEQUENCE_GAP: Final = 1024
_SEQUENCE_OFFSET: Final = 8  # of the sequence number in a frame's header, bytes


class ScanVerdict(Enum):
    """The result of scanning a segment."""

    WHOLE = "whole"
    TORN = "torn"  # the last write is incomplete: nothing durable is lost
    DAMAGED = "damaged"


class SegmentScan(NamedTuple):
    """The frames of a segment."""

    frames: list[records.Frame]
    verdict: ScanVerdict
    end: int  # number of good bytes from the front
    bad_at: int  # the offset of the first bad frame, or -1


def scan(
    data: bytes, segment: int, start: int, known_end: int | None, same_boot: bool, sequence: int = 0
) -> SegmentScan:
    """Scan a segment's frames from the offset `start`.

    Args:
        data: The bytes of the segment.
        segment: Its number.
        start: The offset of the first frame to read.
        known_end: Its number of good bytes according to a later segment, or None for the last segment.
        same_boot: Whether it was written in the machine's current boot.
        sequence: The sequence number of the frame before `start`.
    """
    view = data if known_end is None else data[:known_end]
    frames: list[records.Frame] = []
    verdict = ScanVerdict.WHOLE
    offset = start
    end = start
    bad_at = -1
    while offset < len(view):
        frame = records.read_frame(view, offset, segment)
        if frame is not None:
            frames.append(frame)
            offset = frame.end
            if verdict is ScanVerdict.WHOLE:
                end = offset
            continue
        if verdict is ScanVerdict.WHOLE:
            bad_at = offset
            torn = known_end is None and _is_torn(view, offset, segment, same_boot)
            verdict = ScanVerdict.TORN if torn else ScanVerdict.DAMAGED
        last_sequence = frames[-1].sequence if frames else sequence
        next_offset = find_next_frame(view, offset + 1, segment, last_sequence)
        if next_offset is None:
            break
        verdict = ScanVerdict.DAMAGED  # A complete frame follows, so the bad one is no torn tail.
        offset = next_offset
    if known_end is not None and len(data) < known_end and verdict is ScanVerdict.WHOLE:
        verdict = ScanVerdict.DAMAGED
        bad_at = len(data)
    return SegmentScan(frames, verdict, end, bad_at)


def _is_torn(view: bytes, offset: int, segment: int, same_boot: bool) -> bool:
    """Return whether a bad frame of the last segment can come from an incomplete write."""
    if not same_boot or len(view) - offset < records.FRAME_HEADER.size:
        return True
    header = records.read_frame_header(view, offset, segment)
    return header is not None and offset + records.FRAME_HEADER.size + header.length > len(view)


def find_next_frame(view: bytes, offset: int, segment: int, sequence: int) -> int | None:
    """Return the offset of the next good frame, which is found by its expected sequence number."""
    for number in range(sequence + 1, sequence + 1 + MAX_SEQUENCE_GAP):
        pattern = (number & 0xFFFFFFFF).to_bytes(4, "little")
        found = view.find(pattern, offset)
        while found >= 0:
            start = found - _SEQUENCE_OFFSET
            if start >= offset and records.read_frame(view, start, segment) is not None:
                return start
            found = view.find(pattern, found + 1)
    return None
