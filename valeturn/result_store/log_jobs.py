"""The long jobs on the log, snapshot and compaction, in small steps between other work of the event loop."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, Final, Protocol

from . import compaction_policy, records, snapshot
from .compaction_policy import DiskHealth, SegmentView
from .index import IndexRow
from .opening import key_check
from .pending_records import QueuedRecord
from .snapshot import LogPosition
from .worker import JobStepDone

if TYPE_CHECKING:
    from .log import SegmentedLog

# Shards copied in one step: 2 MB of an index of a million keys, which takes under a millisecond.
SHARDS_PER_STEP: Final = 32
# Records of a compacted segment that are examined in one step, which takes 3 ms.
RECORDS_PER_STEP: Final = 2000
_KEY_RECORDS: Final = (records.IntentRecord, records.ResultRecord, records.FailedRecord)


class LogJob(Protocol):
    """A job in steps."""

    def step(self) -> bool:
        """Do the next step; return False once the job is done."""

    def on_done(self, step: str, result: Any) -> None:  # noqa: ANN401 (the type depends on the step)
        """Handle the result of a step that the worker thread ran."""


class SnapshotJob:
    """Writes a snapshot of the index."""

    def __init__(self, log: SegmentedLog) -> None:
        self.log = log
        self.next_shard = 0
        self.size = 0  # bytes written
        self.shard_count = 0
        self.ended = False
        # Exactly the records that are durable now lie before this position.
        self.position = LogPosition(log.active.number, log.active.size)
        recovered = log.recovered
        segments = [
            SegmentView(segment.number, segment.size, segment.longest_until)
            for segment in recovered.segments.values()
            if segment.number not in log.to_set_aside
        ]
        head = snapshot.Snapshot(
            position=self.position,
            sequence=log.sequence - (log.in_flight is not None),
            timestamp=log.clock.timestamp(),
            segments=segments,
            unfinished=recovered.unfinished,
            in_doubt_until=recovered.in_doubt_until,
            longest_window=recovered.longest_window,
            key_check=key_check(log.key),
            entries=None,
        )
        log.count("store.snapshots")
        self._submit(log.writer.begin_snapshot, snapshot.encode_head(head))

    def _submit(self, function: Callable[..., int], argument: bytes | int) -> None:
        self.log.worker.submit(JobStepDone(function.__name__, self), function, argument)

    def step(self) -> bool:
        """Copy some shards; `on_done` ends the job when the worker thread has completed the file."""
        index = self.log.index
        shards: list[bytes] = []
        while self.next_shard < len(index.shards) and len(shards) < SHARDS_PER_STEP:
            data = index.dump_shard(self.next_shard)
            if data is not None:
                shards.append(snapshot.encode_shard(self.next_shard, data))
            self.next_shard += 1
        self.shard_count += len(shards)
        if shards:
            self._submit(self.log.writer.write_snapshot, b"".join(shards))
        if self.next_shard == len(index.shards) and not self.ended:
            self.ended = True
            self._submit(self.log.writer.end_snapshot, self.shard_count)
        return True

    def on_done(self, step: str, result: int) -> None:
        """Count the bytes written; after the end, make this snapshot the log's current one."""
        if step != "end_snapshot":
            self.size += result
            return
        self.log.position = self.position
        self.log.covered = self.position.segment
        self.log.snapshot_size = self.size
        self.log.job = None


class CompactionJob:
    """Copies the entries of a segment that have not expired to the log's end, then drops the segment."""

    def __init__(self, log: SegmentedLog, number: int) -> None:
        self.log = log
        self.number = number
        self.size = 0  # bytes of the segment
        self.copied = 0  # bytes
        self.records: Iterator[tuple[int, records.Record]] | None = (
            None  # with their offsets; None until read
        )
        self.next_shard: int | None = None  # of the search for rows whose record could not be read
        self.awaited: dict[int, QueuedRecord] | None = (
            None  # by id: what must be durable before the segment is dropped
        )
        self.has_bad_tail = False
        log.count("store.compactions")
        log.worker.submit(JobStepDone("read_segment", self), log.writer.read_segment, number)

    def on_done(self, step: str, result: bytes) -> None:
        """Store the segment's bytes for decoding."""
        if step != "read_segment" or self.records is not None:
            return
        self.size = len(result)
        self.records = self._decode(result)
        self.log.count("store.compacted_bytes", len(result))

    def _decode(self, data: bytes) -> Iterator[tuple[int, records.Record]]:
        offset = len(records.LOG_MAGIC)
        while (frame := records.read_frame(data, offset, self.number)) is not None:
            for record_offset, _, record in records.decode_records(frame.payload):
                yield frame.offset + record_offset, record
            offset = frame.end
        self.has_bad_tail = offset < len(data)  # A failed write left it, or it is damaged.

    def step(self) -> bool:
        """Copy some entries; return False once the segment is dropped."""
        log = self.log
        if self.records is None:
            return True
        if self.awaited is None:
            # Records of new requests take precedence over copies.
            if log.health == DiskHealth.HEALTHY and log.waiting() <= log.limits.waiting // 2:
                self._copy_some(self.records)
            return True
        if any(id(queued) in self.awaited for queued in log.not_durable()):
            return True
        self._end()
        return False

    def _copy_some(self, located_records: Iterator[tuple[int, records.Record]]) -> None:
        if self.next_shard is None:
            for _ in range(RECORDS_PER_STEP):
                found = next(located_records, None)
                if found is None:
                    self.next_shard = 0
                    break
                self._copy_record(*found)
        elif self.has_bad_tail and self.next_shard < len(self.log.index.shards):
            for shard in range(self.next_shard, self.next_shard + SHARDS_PER_STEP):
                self._copy_unreadable(shard)
            self.next_shard += SHARDS_PER_STEP
        else:
            # Holding the records themselves keeps their ids from being used again.
            self.awaited = {id(queued): queued for queued in self.log.not_durable()}

    def _copy_record(self, offset: int, record: records.Record) -> None:
        """Copy a record if it is the current one of an entry that has not expired."""
        log = self.log
        if not isinstance(record, _KEY_RECORDS):
            return
        row = log.index.get(record.digest)
        entry = log.entries.get(record.digest)
        if row is None or (row.segment, row.offset) != (self.number, offset):
            return  # A later record replaced it, or its window ended.
        if entry is not None and entry.queued:
            return  # A newer record is queued, and is awaited like the copies.
        if row.until + compaction_policy.LATE_READ_GRACE_S > log.clock.now():
            log.copy(row, record)
            self.copied += row.size

    def _copy_unreadable(self, shard: int) -> None:
        """Queue a failed record for each row whose record can no longer be read.

        Copies that are not durable yet still have their rows in this segment; these rows are skipped.
        """
        log = self.log
        copied = {queued.record.digest for queued in log.pending if queued.entry is None}
        if log.in_flight is not None:
            copied |= {queued.record.digest for queued in log.in_flight.records}
        for row in log.index.shard_rows(shard):
            if row.segment == self.number and row.digest not in copied and not self._is_queued(row):
                log.copy(row, None)
                log.count("store.unreadable_records")

    def _is_queued(self, row: IndexRow) -> bool:
        entry = self.log.entries.get(row.digest)
        return entry is not None and entry.queued > 0

    def _end(self) -> None:
        log = self.log
        if self.copied > compaction_policy.MAX_COPIED_SHARE * self.size:
            log.pause_until = log.clock.now() + compaction_policy.COMPACTION_PAUSE_S
        log.drop_segment(self.number)
