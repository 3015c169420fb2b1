"""Writing the log: batches, segments, the disk's health, and one background job at a time.

This module does not interpret keys: `ResultStore` handles durable records and those that could not be made
durable. All calls come from the event loop; the disk is accessed only through the worker thread, so that a
slow disk never blocks the loop.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from . import compaction_policy, directory, records, recovery
from .compaction_policy import DiskEffect, DiskEvent, DiskHealth, LogAction, SegmentView
from .disk_jobs import LogWriter
from .environment import StoreEnvironment, StoreSettings
from .events import StoreEvent
from .index import IndexRow
from .limits import usable_log_bytes
from .log_jobs import CompactionJob, LogJob, SnapshotJob
from .opening import key_check, open_store
from .pending_records import LiveEntry, QueuedRecord
from .snapshot import LogPosition
from .window_clock import WindowClock
from .worker import FrameAppended, JobStepDone, SegmentAbandoned, SegmentBegun

# A write takes no further records from this size on; the rest follows with the next write.
BATCH_BYTES: Final = 1 << 20
POLL_INTERVAL_S: Final = 0.001  # between checks of the worker thread, where the caller waits for it
HEALTHY: Final = DiskHealth.HEALTHY  # bound once: reading an attribute of an Enum is slow

# The server's log events for the findings of a recovery; `inspect` prints the findings under their own names.
RECOVERY_EVENTS: Final = {
    "torn": "store_torn_tail_cut",
    "snapshot_newer": "store_snapshot_ahead_of_log",
    "damage": "store_damage_found",
    "snapshot_unusable": "store_snapshot_rejected",
}


class InFlightBatch(NamedTuple):
    """The records that the worker thread is writing."""

    records: list[QueuedRecord]
    size: int  # bytes of these records
    timestamp_size: int  # bytes of the timestamp before them


def _ignore_result(request: SegmentAbandoned, result: OSError | None) -> None:
    """Ignore the result of closing a failed descriptor: the failure itself was handled already."""


class SegmentedLog(ABC):
    """The log of one directory."""

    def __init__(self, environment: StoreEnvironment, settings: StoreSettings) -> None:
        """Open the directory.

        Raises:
            StoreRefusedError: The directory can't be used.
            OSError: It can't be read.
        """
        self.files = environment.files
        self.worker = environment.worker
        self.count = environment.count
        self.log = environment.log
        self.limits = settings.limits
        self.settings = settings
        opened = open_store(self.files, environment.read_clocks())
        self.key = opened.key
        self.recovered = opened.recovered
        # By execution id: the digest and workload of executions from before the start.
        self.unfinished = recovery.unfinished_executions(self.recovered)
        self.recovered.longest_window = max(self.recovered.longest_window, settings.longest_window)
        self.clock = WindowClock(self.recovered.timestamp, environment.read_clocks)
        self.writer = LogWriter(self.files)
        self.index = self.recovered.index
        self.entries: dict[bytes, LiveEntry] = {}  # by digest
        self.pending: list[QueuedRecord] = []
        self.pending_bytes = 0
        self.in_flight: InFlightBatch | None = None
        self.health = HEALTHY
        self.retry_at = 0.0  # store time, seconds: when a failed disk is tried again
        self.segment_ends = list(
            self.recovered.segment_ends
        )  # (segment, good bytes), for the head of the next segment
        self.active_begun = False  # whether the active segment is durable
        self.sequence = self.recovered.sequence
        self.covered = opened.covered
        self.snapshot_size = opened.snapshot_size
        self.position = opened.position or LogPosition(0, 0)
        self.job: LogJob | None = None
        self.pause_until = 0.0  # store time, seconds: no compaction to free space before it
        damaged = {number for number, _ in self.recovered.damaged}
        self.to_set_aside = sorted(damaged & set(self.recovered.segments))
        self.set_aside = list(opened.set_aside)
        self.snapshot_needed = bool(self.recovered.damaged or opened.snapshot_fault)
        self._worker_handlers: dict[type, Callable[[Any, Any], None]] = {
            SegmentBegun: self._on_begun,
            FrameAppended: self._on_appended,
            SegmentAbandoned: _ignore_result,
            JobStepDone: self._on_job_step,
        }
        self._disk_effects: dict[DiskEffect, Callable[[], object]] = {
            DiskEffect.ABANDON: self._abandon_segment,
            DiskEffect.REOPEN: self._open_next,
            DiskEffect.RESUME: self._report_recovery,
        }
        for event, fields in self.recovered.notes:
            self.log(RECOVERY_EVENTS[event], fields)
        self._copy_damaged()
        self.active = self._open_next()

    @abstractmethod
    def _on_durable(self, queued: QueuedRecord, offset: int) -> None:
        """Handle a record of the batch in flight that is durable at this offset."""

    @abstractmethod
    def _on_not_durable(self, batch: list[QueuedRecord]) -> None:
        """Handle the records of a batch whose write failed, and those that are still pending."""

    @abstractmethod
    def collect(self) -> list[StoreEvent]:
        """Handle the results of the worker thread, and return the events since the last call."""

    def queue(self, record: records.KeyRecord, entry: LiveEntry | None = None) -> None:
        """Queue a record for the next write."""
        queued = QueuedRecord(record, entry)
        if entry is not None:
            entry.queued += 1
        self.pending.append(queued)
        self.pending_bytes += len(queued.data)

    def flush(self) -> None:
        """Start one write of the queued records, unless a write is in progress."""
        if not self.pending or self.in_flight is not None or self.health != HEALTHY:
            return
        if self.active.size >= self.limits.segment:
            self._open_next()
        batch: list[QueuedRecord] = []
        size = 0
        for queued in self.pending:
            if size >= BATCH_BYTES:
                break
            size += len(queued.data)
            batch.append(queued)
        del self.pending[: len(batch)]
        self.pending_bytes -= size
        self.sequence += 1
        timestamp = records.encode_record(self.clock.timestamp())
        payload = timestamp + b"".join([queued.data for queued in batch])
        data = records.encode_frame(self.active.number, self.sequence, payload)
        self.in_flight = InFlightBatch(batch, size, len(timestamp))
        self.worker.submit(FrameAppended(), self.writer.append, data)

    def _open_next(self) -> recovery.Segment:
        """Request the next segment and return it; its head holds the sizes of the segments before it."""
        self.recovered.last_segment += 1
        number = self.recovered.last_segment
        head = records.SegmentHead(
            number,
            tuple(self.segment_ends),
            self.clock.read().boot_id,
            key_check(self.key),
            max(self.settings.longest_window, self.recovered.longest_window),
        )
        self.sequence += 1
        parts = [records.encode_record(head), records.encode_record(self.clock.timestamp())]
        if self.recovered.in_doubt_until > self.clock.now():
            parts.append(records.encode_record(records.InDoubtRecord(self.recovered.in_doubt_until)))
        data = records.encode_frame(number, self.sequence, b"".join(parts))
        self.active_begun = False
        self.active = recovery.Segment(number, len(records.LOG_MAGIC) + len(data))
        self.recovered.segments[number] = self.active
        if self.health != HEALTHY:
            self.health = DiskHealth.REOPENING
        self.worker.submit(SegmentBegun(number), self.writer.begin_segment, number, data)
        return self.active

    # The disk's health

    def _change_health(self, event: DiskEvent) -> None:
        found = compaction_policy.DISK_TRANSITIONS.get((self.health, event))
        if found is not None:
            self.health, effect = found
            self._disk_effects[effect]()

    def _abandon_segment(self) -> None:
        """Close the failed descriptor: what reached the disk is unknown, and is written again later."""
        self.retry_at = self.clock.now() + self.settings.retry_delay
        self.worker.submit(SegmentAbandoned(), self.writer.abandon)

    def _report_recovery(self) -> None:
        self.log("store_disk_recovered", {"segment": self.active.number})

    def _report_failure(self, operation: str, error: OSError) -> None:
        self.count("store.disk_errors")
        fields = {"operation": operation, "error": str(error), "errno": getattr(error, "errno", None)}
        self.log("store_operation_failed", fields)

    # Results of the worker thread

    def _on_begun(self, request: SegmentBegun, result: int | OSError) -> None:
        if isinstance(result, OSError):
            self._report_failure("begin", result)
            self.recovered.segments.pop(request.number, None)
            self.recovered.last_segment -= 1  # Used again: a missing number would count as damage.
            self.sequence -= 1
            self._change_health(DiskEvent.FAILED)
            if self.in_flight is not None:  # An append queued after it fails as well.
                self.count("store.appends_behind_failure")
            return
        self.segment_ends = [(request.number, result)]
        self.active_begun = True
        self._change_health(DiskEvent.REOPENED)

    def _on_appended(self, request: FrameAppended, result: int | OSError) -> None:
        assert self.in_flight is not None
        batch, _, timestamp_size = self.in_flight
        self.in_flight = None
        if isinstance(result, OSError):
            self._report_failure("append", result)
            self.sequence -= 1
            self._change_health(DiskEvent.FAILED)
            self._on_not_durable(batch)
            return
        offset = self.active.size + records.FRAME_HEADER.size + timestamp_size
        for queued in batch:
            self._on_durable(queued, offset)
            offset += len(queued.data)
        self.active.size += result
        self.segment_ends = [(self.active.number, self.active.size)]
        self.count("store.appends")
        self.count("store.records", len(batch))

    def _on_job_step(self, request: JobStepDone, result: Any) -> None:  # noqa: ANN401 (as LogJob.on_done)
        if isinstance(result, OSError):
            self._report_failure(request.step, result)
            self.job = None
            self.pause_until = self.clock.now() + self.settings.retry_delay
        elif self.job is not None and request.job is self.job:
            self.job.on_done(request.step, result)

    # Damaged segments

    def _copy_damaged(self) -> None:
        """At the start, copy the readable entries of damaged segments; record the others as failed."""
        damaged = {number for number, _ in self.recovered.damaged}
        if not damaged:
            return
        duration = round(self.recovered.in_doubt_until - self.clock.now(), 1)
        self.log("store_keys_in_doubt", {"duration_s": duration})
        for shard in range(len(self.index.shards)):
            for row in self.index.shard_rows(shard):
                if row.segment in damaged:
                    self.copy(row, self._read_record(row))

    def _read_record(self, row: IndexRow) -> records.Record | None:
        try:
            return self.writer.read_record(row.segment, row.offset, row.size)
        except OSError:
            return None

    def copy(self, row: IndexRow, record: records.Record | None) -> None:
        """Queue a copy of an entry; without its own record, as an execution that ended without a result."""
        key_records = (records.IntentRecord, records.ResultRecord, records.FailedRecord)
        if isinstance(record, key_records) and record.digest == row.digest:
            self.queue(record)
        else:
            self.queue(records.FailedRecord(row.digest, row.until))

    def _set_next_aside(self) -> None:
        """Take a damaged segment out of the log once a snapshot no longer needs it.

        The latest few files are kept for inspection; older ones are deleted.
        """
        if self.snapshot_needed or self.to_set_aside[0] >= self.covered:
            self.snapshot_needed = False
            self.job = SnapshotJob(self)
            return
        number = self.to_set_aside.pop(0)
        self.recovered.segments.pop(number, None)
        self.set_aside.append(number)
        self.log("store_segment_set_aside", {"segment": number})
        self.worker.submit(JobStepDone("set_aside", None), self.writer.set_aside, number)
        while len(self.set_aside) > self.limits.damaged:
            oldest = directory.damaged_file(self.set_aside.pop(0))
            self.worker.submit(JobStepDone("drop", None), self.files.remove, oldest)

    # Background jobs

    def view(self, now: float) -> compaction_policy.LogView:
        """Return the input of the compaction policy; `now` is store time in seconds."""
        segments = tuple(
            SegmentView(segment.number, segment.size, segment.longest_until)
            for number, segment in sorted(self.recovered.segments.items())
            if number != self.active.number
        )
        bytes_after_position = sum(
            segment.size for segment in segments if segment.number >= self.position.segment
        )
        return compaction_policy.LogView(
            now=now,
            segments=segments,
            active=(self.active.number, self.active.size),
            covered=self.covered,
            unsnapshotted=bytes_after_position + self.active.size - self.position.offset,
            snapshot_size=self.snapshot_size,
            segment_limit=self.limits.segment,
            usable=self.usable(),
            healthy=self.health == HEALTHY and self.active_begun,
            pause_until=self.pause_until,
        )

    def _start_next_job(self, now: float) -> None:
        view = self.view(now)
        action = compaction_policy.decide(view)
        if action == LogAction.SNAPSHOT:
            if view.segments and view.segments[0].number >= self.active.number:
                return
            self.job = SnapshotJob(self)
        elif action == LogAction.DROP:
            self.drop_segment(view.segments[0].number)
        elif action == LogAction.COMPACT:
            self.job = CompactionJob(self, view.segments[0].number)

    def drop_segment(self, number: int) -> None:
        """Remove a segment from the log and delete its file."""
        self.recovered.segments.pop(number, None)
        self.count("store.segments_dropped")
        self.worker.submit(JobStepDone("drop", None), self.writer.delete_segment, number)

    def _step_background(self, now: float) -> None:
        """Retry a failed disk; step the background job or start the next one."""
        if self.health == DiskHealth.BACKING_OFF and now >= self.retry_at and self.in_flight is None:
            self._change_health(DiskEvent.RETRY)
        if self.job is not None:
            if not self.job.step():
                self.job = None
        elif (self.snapshot_needed or self.to_set_aside) and self.health == HEALTHY and self.active_begun:
            if not self.pending and self.in_flight is None:
                self._set_next_aside()
        else:
            self._start_next_job(now)
        self.flush()

    def compact_all(self) -> None:
        """Compact every segment that existed at the start; the `compact` command waits for this."""
        self.snapshot_needed = False
        self.finish(SnapshotJob(self))
        for number in sorted(n for n in self.recovered.segments if n < self.active.number):
            self.finish(CompactionJob(self, number))
        self.finish(SnapshotJob(self))

    def finish(self, job: LogJob) -> None:
        """Run a job to its end, for the commands; a failure of the disk ends it."""
        self.job = job
        while self.job is not None:
            if not job.step():
                self.job = None
            self.flush()
            self.collect()
            if self.worker.busy:
                time.sleep(POLL_INTERVAL_S)
            if self.health != HEALTHY:
                return

    # Sizes and shutdown

    def used(self) -> int:
        """Return the bytes of all segments."""
        return sum(segment.size for segment in self.recovered.segments.values())

    def usable(self) -> int:
        """Return the bytes of log that may hold entries which must not be dropped."""
        return usable_log_bytes(self.limits)

    def waiting(self) -> int:
        """Return the bytes of records that are not durable yet."""
        return self.pending_bytes + (self.in_flight.size if self.in_flight is not None else 0)

    def not_durable(self) -> list[QueuedRecord]:
        """Return the records that are not durable yet."""
        if self.in_flight is None:
            return list(self.pending)
        return [*self.pending, *self.in_flight.records]

    def close(self, timeout_s: float) -> bool:
        """Write the queued records, for up to `timeout_s` seconds; return whether all became durable."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            self.collect()
            self.flush()
            if (self.in_flight is None and not self.pending) or self.health != HEALTHY:
                break
            time.sleep(POLL_INTERVAL_S)
        self.worker.finish(max(0.0, deadline - time.monotonic()))
        self.collect()  # results that arrived during the wait
        self.files.release()
        return not self.pending and self.in_flight is None
