"""What a log that is found on the disk says: pure functions from bytes to an index and its doubts.

A frame that is not whole ends the log (a torn tail) only where nothing can have followed it: it reaches past
the end of the last file, as a process that is killed leaves it, or the machine was started anew since, which
may leave any bytes of the last write. All else is damage: the segment is read on behind it, and what may have
been lost with it stays in doubt for the longest window.
"""

from __future__ import annotations

from typing import NamedTuple

from . import records, window_clock
from .entry_states import FAILED, IN_DOUBT, STORED
from .index import Index

WHOLE, TORN, DAMAGED = "whole", "torn", "damaged"


class Refused(Exception):
    """The folder can't be used, and nothing in it was touched."""


class Scan(NamedTuple):
    frames: list
    verdict: str
    end: int  # bytes that are good from the front
    bad_at: int  # where the first bad frame begins, or -1


def scan(data, segment, start, known_end, same_boot, sequence=0):
    """The frames of a segment from `start`. known_end: its good bytes as a later segment tells them, or None
    for the last segment. sequence: of the frame before `start`."""
    limit = len(data) if known_end is None else min(known_end, len(data))
    view, frames, at, verdict, end, bad_at = data[:limit], [], start, WHOLE, start, -1
    while at < limit:
        frame = records.frame_at(view, at, segment)
        if frame is not None:
            frames.append(frame)
            at = frame.end
            end = at if verdict is WHOLE else end
            continue
        if verdict is WHOLE:
            bad_at, verdict = (
                at,
                TORN if known_end is None and _torn(view, at, segment, same_boot) else DAMAGED,
            )
        again = _next_frame(view, at + 1, segment, frames[-1].sequence if frames else sequence)
        if again is None:
            break
        verdict, at = DAMAGED, again  # a whole frame follows: no write was cut here
    if known_end is not None and len(data) < known_end and verdict is WHOLE:
        verdict, bad_at = DAMAGED, len(data)
    return Scan(frames, verdict, end, bad_at)


def _torn(view, at, segment, same_boot):
    if not same_boot or len(view) - at < records.HEADER.size:
        return True
    header = records.header_at(view, at, segment)
    return header is not None and at + records.HEADER.size + header[0] > len(view)


SOUGHT = 1024  # numbers looked for behind a bad frame: a search for one is a millisecond in a whole segment


def _next_frame(view, at, segment, sequence):
    """Where the next good frame begins, found by the number that it must have."""
    for number in range(sequence + 1, sequence + 1 + SOUGHT):
        text, found = (number & 0xFFFFFFFF).to_bytes(4, "little"), at - 1
        while (found := view.find(text, found + 1)) >= 0:
            if found - 8 >= at and records.frame_at(view, found - 8, segment) is not None:
                return found - 8
    return None


class Segment:
    """What is kept in memory of one log file."""

    __slots__ = ("longest_until", "number", "size")

    def __init__(self, number, size, longest_until=0):
        self.number, self.size, self.longest_until = number, size, longest_until


class Found:
    """What a folder holds, read as far as it can be."""

    def __init__(self):
        self.index, self.segments, self.unsettled = Index(), {}, {}  # unsettled: digest -> (call, workload)
        self.sequence, self.last, self.stamp, self.longest, self.unsure = 0, 0, None, 0.0, 0.0
        self.known_ends = {}  # segment -> its good bytes, as later heads tell
        self.ends = []  # what the next head tells of the files before it
        self.damaged, self.notes, self.records, self.passed_over = [], [], 0, 0

    def note(self, event, **fields):
        self.notes.append((event, fields))


def heads(first_bytes):
    """number -> Head of those segments whose first frame is good."""
    out = {}
    for number, data in first_bytes.items():
        check_version(data, records.KIND, f"segment {number}")
        frame = records.frame_at(data, len(records.MAGIC), number)
        if frame is not None:
            head = records.decode(frame.payload)[0][2]
            if isinstance(head, records.Head):
                out[number] = head
    return out


def check_version(data, kind, what):
    """True where the bytes begin as they should. Raises Refused on a newer format."""
    found = records.version(data, kind)
    if found is not None and found[0] > records.MAJOR:
        raise Refused(f"{what} has format {found[0]}, this version reads up to {records.MAJOR}")
    return found is not None


def recover(snapshot, numbers, read, first_bytes, check, moment, aside=()):
    """The folder's state. snapshot: a Snapshot or None. numbers: the segments there are; read(number): the
    bytes of one; check: what the key of the digests makes of the known text; moment: the clocks now; aside:
    segments that were damaged and set aside, what could be read of them written anew. Raises Refused."""
    found, known = Found(), heads(first_bytes)
    for number, head in known.items():
        if head.check != check:
            raise Refused(f"segment {number} was written with another key")
        found.longest = max(found.longest, head.longest)
    ends = found.known_ends = {number: end for head in known.values() for number, end in head.ends}
    position = None
    if snapshot is not None:
        if snapshot.check != check:
            raise Refused("the snapshot was written with another key")
        position = _take_snapshot(found, snapshot)
    numbers = sorted(numbers)
    found.last = max([found.last, *numbers])
    if numbers and position is not None and position[0] not in numbers:
        found.note("snapshot_newer", segment=position[0], last=numbers[-1])
        found.damaged.append((position[0], "missing"))
    before = None
    for number in numbers:
        if position is not None and number < position[0]:
            continue
        if before is not None and number != before + 1:
            gone = (one for one in range(before + 1, number) if one not in aside and ends.get(one) != 0)
            found.damaged += [(missing, "missing") for missing in gone]
        before = number
        start = position[1] if position is not None and number == position[0] else len(records.MAGIC)
        last = number == numbers[-1]
        _read_segment(
            found,
            number,
            read(number),
            start,
            None if last else ends.get(number),
            last and _boot_of(known, number, moment),
            known,
        )
    if numbers and position is not None and before is None:
        found.note("snapshot_newer", segment=position[0], last=numbers[-1])
        found.damaged.append((position[0], "missing"))
    if found.ends == [] and numbers:
        found.ends = (
            [(numbers[-1], found.segments[numbers[-1]].size)] if numbers[-1] in found.segments else []
        )
    if found.damaged:
        at = window_clock.resume(found.stamp, moment)
        found.unsure = max(found.unsure, at + found.longest)
        found.note(
            "damage", segments=",".join(f"{n}:{why}" for n, why in found.damaged), longest=found.longest
        )
    return found


def _boot_of(known, number, moment):
    head = known.get(number)
    return head is not None and bool(head.boot_id) and head.boot_id == moment.boot_id


def _take_snapshot(found, snapshot):
    found.index, found.sequence, found.stamp = snapshot.index, snapshot.sequence, snapshot.stamp
    found.unsettled, found.longest = dict(snapshot.unsettled), max(found.longest, snapshot.longest)
    found.unsure, found.last = snapshot.unsure, snapshot.position[0]
    for number, size, until in snapshot.segments:
        found.segments[number] = Segment(number, size, until)
    return snapshot.position


def _read_segment(found, number, data, start, known_end, same_boot, known):
    if records.version(data, records.KIND) is None:
        if _next_frame(data, 0, number, found.sequence) is None and not known_end:
            # A file that was made and never got its head: nothing in it was ever acted on.
            found.segments[number] = Segment(number, len(data))
            found.ends.append((number, 0))
            return
        found.damaged.append((number, "no magic"))
    if start > len(data):
        found.note("snapshot_newer", segment=number, offset=start, size=len(data))
        found.damaged.append((number, "shorter than its snapshot"))
        found.segments[number] = Segment(number, len(data))
        found.ends.append((number, len(data)))
        return
    got = scan(data, number, start, known_end, same_boot, found.sequence)
    entry = found.segments.setdefault(number, Segment(number, 0))
    entry.size = max(entry.size, len(data))
    boot = known[number].boot_id if number in known else ""
    for frame in got.frames:
        _apply_frame(found, entry, frame, boot)
    if got.verdict is TORN:
        found.note("torn", segment=number, at=got.bad_at, cut=len(data) - got.bad_at)
    elif got.verdict is DAMAGED:
        found.damaged.append((number, f"at {got.bad_at}"))
    if known_end is None:
        found.ends.append((number, len(data) if got.verdict is DAMAGED else got.end))


def _apply_frame(found, segment, frame, boot):
    if found.sequence and frame.sequence != (found.sequence + 1) & 0xFFFFFFFF:
        if not any(number == segment.number for number, _ in found.damaged):
            found.damaged.append((segment.number, f"frames missing before {frame.sequence}"))
    found.sequence = frame.sequence
    for at, size, kind, fields in records.raw(frame.payload):
        found.records += 1
        apply(found, segment, frame.offset + at, size, kind, fields, boot)


STATES = {records.INTENT: IN_DOUBT, records.RESULT: STORED, records.FAILED: FAILED}


def apply(found, segment, offset, size, kind, fields, boot=""):
    """Moves the index by one durable record: the same for what is read at a start and what was just written.
    fields: those of the record, in their order."""
    state = STATES.get(kind)
    if state is not None:
        digest, until = fields[0], fields[1]
        found.index.put(digest, segment.number, offset, until, size, state)
        if until > segment.longest_until:
            segment.longest_until = until
        if state == IN_DOUBT:
            found.unsettled[digest] = fields[2], fields[3]
        else:
            found.unsettled.pop(digest, None)
    elif kind == records.UNSENT:
        found.index.remove(fields[0])
        found.unsettled.pop(fields[0], None)
    elif kind == records.STAMP:
        if found.stamp is None or fields[0] >= found.stamp.store_time:
            found.stamp = window_clock.StoreTimestamp(
                fields[0], window_clock.ClockReading(fields[1], fields[2], boot)
            )
    elif kind == records.UNSURE:
        found.unsure = max(found.unsure, fields[0])
    elif kind != records.HEAD:
        found.passed_over += 1


def settled(found):
    """The runs from before the start of which no end is known: call -> (digest, workload)."""
    calls = {}
    for digest, (call, workload) in list(found.unsettled.items()):
        row = found.index.get(digest)
        if row is not None and row.state == IN_DOUBT:
            calls[call] = digest, workload
        else:
            del found.unsettled[digest]
    return calls
