"""Recovery: rebuilds the index, and the keys in doubt, from the bytes of a log. Pure functions.

A torn tail is cut off. After damage, the records of any unknown key may have been lost: all unknown keys are
in doubt for the longest window, during which the store accepts no new key.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, Final, NamedTuple

from . import records, window_clock
from .entry_states import FAILED, IN_DOUBT, STORED
from .errors import KeyMismatchError
from .index import Index
from .segment_scan import ScanVerdict, find_next_frame, scan
from .snapshot import Snapshot, UnfinishedExecution
from .window_clock import ClockReading, StoreTimestamp


class Segment:
    """The properties of one segment that are held in memory."""

    __slots__ = ("longest_until", "number", "size")

    def __init__(self, number: int, size: int, longest_until: float = 0) -> None:
        self.number = number
        self.size = size  # bytes
        self.longest_until = longest_until  # store time in seconds at which its last window ends


class DamagedSegment(NamedTuple):
    """A segment that lost records, and how that was recognized."""

    number: int
    reason: str


class RecoveryNote(NamedTuple):
    """A finding for the log of the server and the output of `inspect`."""

    event: str
    fields: dict[str, Any]


class RecoveredLog:
    """The readable content of a directory."""

    def __init__(self) -> None:
        self.index = Index()
        self.segments: dict[int, Segment] = {}
        self.unfinished: dict[bytes, UnfinishedExecution] = {}  # by digest
        self.sequence = 0  # of the last frame
        self.last_segment = 0  # the highest number that was ever used
        self.timestamp: StoreTimestamp | None = None
        self.longest_window = 0.0  # seconds
        self.in_doubt_until = 0.0  # store time, seconds
        self.known_ends: dict[int, int] = {}  # segment -> its good bytes, from the heads of later segments
        self.segment_ends: list[tuple[int, int]] = []  # for the head of the next segment
        self.damaged: list[DamagedSegment] = []
        self.notes: list[RecoveryNote] = []
        self.record_count = 0
        self.unknown_records = 0

    def note(self, event: str, **fields: Any) -> None:  # noqa: ANN401 (a log event takes any fields)
        """Add a finding."""
        self.notes.append(RecoveryNote(event, fields))

    def mark_damaged(self, number: int, reason: str) -> None:
        """Record that a segment lost records."""
        self.damaged.append(DamagedSegment(number, reason))


class LogSource(NamedTuple):
    """The files from which a log is recovered."""

    snapshot: Snapshot | None
    segments: Collection[int]  # numbers
    first_bytes: Mapping[int, bytes]  # of each segment, enough to read its head
    read: Callable[[int], bytes]  # all bytes of a segment
    set_aside: Collection[int] = ()  # damaged segments whose readable records were copied


def read_segment_heads(first_bytes: Mapping[int, bytes]) -> dict[int, records.SegmentHead]:
    """Return by number the heads of those segments whose first frame is good.

    Raises:
        NewerFormatError: A segment was written by a newer version.
    """
    heads = {}
    for number, data in first_bytes.items():
        records.check_format(data, records.LOG_KIND, f"segment {number}")
        frame = records.read_frame(data, len(records.LOG_MAGIC), number)
        if frame is not None:
            head = records.decode_records(frame.payload)[0].record
            if isinstance(head, records.SegmentHead):
                heads[number] = head
    return heads


def recover(source: LogSource, key_check: bytes, reading: ClockReading) -> RecoveredLog:
    """Recover the state of a directory.

    Args:
        source: Its files.
        key_check: The keyed hash of the known text with the directory's key.
        reading: The machine's clocks now.

    Raises:
        NewerFormatError: A segment was written by a newer version.
        KeyMismatchError: A file was written with another key.
    """
    recovered = RecoveredLog()
    heads = read_segment_heads(source.first_bytes)
    _check_keys(heads, source.snapshot, key_check)
    for head in heads.values():
        recovered.longest_window = max(recovered.longest_window, head.longest_window)
        recovered.known_ends.update(head.segment_ends)
    position = None
    if source.snapshot is not None:
        position = source.snapshot.position
        _restore_snapshot(recovered, source.snapshot)
    numbers = sorted(source.segments)
    recovered.last_segment = max([recovered.last_segment, *numbers])
    if numbers and position is not None and position.segment not in numbers:
        recovered.note("snapshot_newer", segment=position.segment, last=numbers[-1])
        recovered.mark_damaged(position.segment, "missing")
    replayed = [number for number in numbers if position is None or number >= position.segment]
    _replay_segments(recovered, source, replayed, heads, reading)
    if not recovered.segment_ends and numbers and numbers[-1] in recovered.segments:
        recovered.segment_ends = [(numbers[-1], recovered.segments[numbers[-1]].size)]
    if recovered.damaged:
        _put_in_doubt(recovered, reading)
    return recovered


def _check_keys(
    heads: Mapping[int, records.SegmentHead], snapshot: Snapshot | None, key_check: bytes
) -> None:
    for number, head in heads.items():
        if head.key_check != key_check:
            raise KeyMismatchError(f"segment {number}")
    if snapshot is not None and snapshot.key_check != key_check:
        raise KeyMismatchError("the snapshot")


def _restore_snapshot(recovered: RecoveredLog, snapshot: Snapshot) -> None:
    assert snapshot.entries is not None
    recovered.index = snapshot.entries
    recovered.sequence = snapshot.sequence
    recovered.timestamp = snapshot.timestamp
    recovered.unfinished = dict(snapshot.unfinished)
    recovered.longest_window = max(recovered.longest_window, snapshot.longest_window)
    recovered.in_doubt_until = snapshot.in_doubt_until
    recovered.last_segment = snapshot.position.segment
    for number, size, longest_until in snapshot.segments:
        recovered.segments[number] = Segment(number, size, longest_until)


def _replay_segments(
    recovered: RecoveredLog,
    source: LogSource,
    numbers: Iterable[int],
    heads: Mapping[int, records.SegmentHead],
    reading: ClockReading,
) -> None:
    """Replay segments in ascending order; gaps between their numbers are damage."""
    last = max(source.segments, default=0)
    previous = None
    for number in numbers:
        if previous is not None:
            for missing in range(previous + 1, number):
                # A segment that was set aside was copied before; one without a head held no records.
                if missing not in source.set_aside and recovered.known_ends.get(missing) != 0:
                    recovered.mark_damaged(missing, "missing")
        previous = number
        start = len(records.LOG_MAGIC)
        if source.snapshot is not None and number == source.snapshot.position.segment:
            start = source.snapshot.position.offset
        head = heads.get(number)
        _replay_segment(
            recovered,
            number,
            source.read(number),
            start,
            None if number == last else recovered.known_ends.get(number),
            number == last and head is not None and bool(head.boot_id) and head.boot_id == reading.boot_id,
            head.boot_id if head is not None else "",
        )


def _put_in_doubt(recovered: RecoveredLog, reading: ClockReading) -> None:
    """Put all unknown keys in doubt for the longest window, as records were lost."""
    now = window_clock.resume(recovered.timestamp, reading)
    recovered.in_doubt_until = max(recovered.in_doubt_until, now + recovered.longest_window)
    segments = ",".join(f"{number}:{reason}" for number, reason in recovered.damaged)
    recovered.note("damage", segments=segments, longest=recovered.longest_window)


def _replay_segment(
    recovered: RecoveredLog,
    number: int,
    data: bytes,
    start: int,
    known_end: int | None,
    same_boot: bool,
    boot_id: str,
) -> None:
    """Apply the records of one segment and record where it ends; see `scan` for the arguments."""
    if records.format_version(data, records.LOG_KIND) is None:
        if not known_end and find_next_frame(data, 0, number, recovered.sequence) is None:
            # The file was created but its head was never written: no request depended on it.
            recovered.segments[number] = Segment(number, len(data))
            recovered.segment_ends.append((number, 0))
            return
        recovered.mark_damaged(number, "no magic")
    if start > len(data):
        recovered.note("snapshot_newer", segment=number, offset=start, size=len(data))
        recovered.mark_damaged(number, "shorter than its snapshot")
        recovered.segments[number] = Segment(number, len(data))
        recovered.segment_ends.append((number, len(data)))
        return
    scanned = scan(data, number, start, known_end, same_boot, recovered.sequence)
    segment = recovered.segments.setdefault(number, Segment(number, 0))
    segment.size = max(segment.size, len(data))
    for frame in scanned.frames:
        _apply_frame(recovered, segment, frame, boot_id)
    if scanned.verdict is ScanVerdict.TORN:
        recovered.note("torn", segment=number, at=scanned.bad_at, cut=len(data) - scanned.bad_at)
    elif scanned.verdict is ScanVerdict.DAMAGED:
        recovered.mark_damaged(number, f"at {scanned.bad_at}")
    if known_end is None:
        end = len(data) if scanned.verdict is ScanVerdict.DAMAGED else scanned.end
        recovered.segment_ends.append((number, end))


def _apply_frame(recovered: RecoveredLog, segment: Segment, frame: records.Frame, boot_id: str) -> None:
    """Apply the records of one frame; a gap in the sequence numbers is damage, reported once per segment."""
    expected = (recovered.sequence + 1) & 0xFFFFFFFF
    gap = recovered.sequence and frame.sequence != expected
    if gap and all(number != segment.number for number, _ in recovered.damaged):
        recovered.mark_damaged(segment.number, f"frames missing before {frame.sequence}")
    recovered.sequence = frame.sequence
    for offset, size, kind, fields in records.parse_records(frame.payload):
        recovered.record_count += 1
        apply_record(recovered, segment, frame.offset + offset, size, kind, fields, boot_id)


# The state of an entry after a record of this kind.
_STATE_OF_KIND: Final = {records.INTENT: IN_DOUBT, records.RESULT: STORED, records.FAILED: FAILED}


def apply_record(
    recovered: RecoveredLog,
    segment: Segment,
    offset: int,
    size: int,
    kind: int,
    fields: tuple[Any, ...],
    boot_id: str = "",
) -> None:
    """Apply one durable record to the index; used by recovery and after each write.

    Args:
        recovered: The state that is updated.
        segment: The record's segment.
        offset: The record's offset in the segment, bytes.
        size: The record's size, bytes.
        kind: The record's kind on disk.
        fields: The record's fields, in their order on disk.
        boot_id: The boot id of the segment's head, for timestamps.
    """
    state = _STATE_OF_KIND.get(kind)
    if state is not None:
        digest = fields[0]
        until = fields[1]
        recovered.index.put(digest, segment.number, offset, until, size, state)
        if until > segment.longest_until:  # noqa: PLR1730 (runs for each record; max() is slower)
            segment.longest_until = until
        if state == IN_DOUBT:
            recovered.unfinished[digest] = fields[2], fields[3]
        else:
            recovered.unfinished.pop(digest, None)
    elif kind == records.UNSENT:
        recovered.index.remove(fields[0])
        recovered.unfinished.pop(fields[0], None)
    elif kind == records.TIMESTAMP:
        if recovered.timestamp is None or fields[0] >= recovered.timestamp.store_time:
            recovered.timestamp = StoreTimestamp(fields[0], ClockReading(fields[1], fields[2], boot_id))
    elif kind == records.IN_DOUBT:
        recovered.in_doubt_until = max(recovered.in_doubt_until, fields[0])
    elif kind != records.HEAD:
        recovered.unknown_records += 1


def unfinished_executions(recovered: RecoveredLog) -> dict[bytes, tuple[bytes, str]]:
    """Return by execution id the digest and workload of each execution from before the start without an end.

    Entries whose row is missing or has an end are removed from `recovered.unfinished`.
    """
    executions = {}
    for digest, (execution_id, workload) in list(recovered.unfinished.items()):
        row = recovered.index.get(digest)
        if row is not None and row.state == IN_DOUBT:
            executions[execution_id] = digest, workload
        else:
            del recovered.unfinished[digest]
    return executions
