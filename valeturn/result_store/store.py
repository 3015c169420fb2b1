"""The store's interface to the dispatcher: key look-ups, intents before executions, results after them.

All calls come from the event loop. The disk is accessed only through the worker thread, whose results
are handled by `collect`, also on the event loop, so that no lock is needed.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Final

import blake3

from . import compaction_policy, entry_states, records
from .entry_states import ABSENT, EXECUTING, IN_DOUBT, INTENT_PENDING, STORED, EntryEffect, LookupOutcome
from .environment import StoreEnvironment, StoreSettings
from .events import INTENT_DURABLE, INTENT_LOST, RESULT_READ, StoreEvent
from .limits import INTENT_SIZE, MAX_RECORD_SIZE
from .log import HEALTHY, SegmentedLog
from .pending_records import LiveEntry, QueuedRecord
from .recovery import apply_record
from .timing_wheel import TimingWheel
from .worker import RecordRead

# Maximum keys that are expired in one sweep: 4 ms, ten times a second.
EXPIRED_PER_SWEEP: Final = 2000
# Shards whose rows are added to the timing wheel in one sweep after a start: some thousand keys, 2 ms.
SHARDS_REBUILT_PER_SWEEP: Final = 4
# Maximum bytes of log for one key: an intent and the longest result.
RESERVED_SIZE: Final = MAX_RECORD_SIZE + INTENT_SIZE
DIGEST_SIZE: Final = 16  # bytes
MIN_RETRY_AFTER_S: Final = 0.01  # while the disk fails and its next attempt is due
# Bound once: reading an attribute of an Enum is slow.
_EXECUTE: Final = LookupOutcome.EXECUTE


class Lookup:
    """The result of looking up a request's key."""

    __slots__ = ("digest", "entry", "outcome")

    def __init__(self, outcome: LookupOutcome, digest: bytes, entry: LiveEntry | None = None) -> None:
        self.outcome = outcome
        self.digest = digest
        self.entry = entry  # the entry whose execution is in progress, where there is one


class ResultStore(SegmentedLog):
    """The results of idempotent requests, by key, across restarts of the server."""

    def __init__(self, environment: StoreEnvironment, settings: StoreSettings) -> None:
        """Open the directory.

        Raises:
            StoreRefusedError: The directory can't be used.
            OSError: It can't be read.
        """
        super().__init__(environment, settings)
        self.reservations: set[int] = set()  # ids of admitted requests whose intent is not logged yet
        self.events: list[StoreEvent] = []
        self.wheel = TimingWheel(self.clock.now())
        self.rebuilt_shards = 0  # number of shards whose rows are in the wheel
        self._worker_handlers[RecordRead] = self._on_record_read
        self._effects: dict[EntryEffect, Callable[[LiveEntry], None]] = {
            EntryEffect.WRITE_INTENT: self._write_intent,
            EntryEffect.SEND: self._report_intent_durable,
            EntryEffect.REJECT: self._report_intent_lost,
            EntryEffect.WRITE_RESULT: self._write_result,
            EntryEffect.WRITE_FAILED: self._write_failed,
            EntryEffect.WRITE_UNSENT: self._write_unsent,
        }

    # Keys and look-ups

    def key_digest(self, workload: str, idempotency_key: str) -> bytes:
        """Return the keyed hash of a workload's name and an idempotency key; keys are never written."""
        name = workload.encode()
        text = len(name).to_bytes(2, "little") + name + idempotency_key.encode()
        return blake3.blake3(text, key=self.key).digest(DIGEST_SIZE)

    def look_up(self, digest: bytes, waited: float) -> Lookup:
        """Look up the key of a request that reached the server `waited` seconds ago."""
        arrived = self.clock.now() - waited
        entry = self.entries.get(digest)
        if entry is not None and entry.state != ABSENT:
            in_window = entry.until > arrived
            return Lookup(entry_states.LOOKUP_OUTCOMES[entry.state] if in_window else _EXECUTE, digest, entry)
        row = self.index.get(digest)
        if row is None or row.until <= arrived:
            return Lookup(_EXECUTE, digest)
        return Lookup(entry_states.LOOKUP_OUTCOMES[row.state], digest)

    def retry_after(self) -> float:
        """Return the seconds until one more key may be accepted; 0 where there is capacity now."""
        now = self.clock.now()
        earliest = self.wheel.earliest()
        unsettled = len(self.entries) + len(self.reservations)
        disk_retry_in = 0.0
        if self.health != HEALTHY:
            disk_retry_in = max(MIN_RETRY_AFTER_S, self.retry_at - now)
        return compaction_policy.retry_after(
            compaction_policy.CapacityView(
                keys=self.index.count + unsettled,
                max_keys=self.limits.keys,
                used=self.used(),
                reserved=unsettled * RESERVED_SIZE,
                usable=self.usable(),
                waiting=self.waiting(),
                max_waiting=self.limits.waiting,
                in_doubt_for=self.recovered.in_doubt_until - now,
                disk_retry_in=disk_retry_in,
                earliest_end_in=0.0 if earliest is None else max(0.0, earliest - now),
            )
        )

    def reserve(self, request_id: int) -> None:
        """Reserve capacity for an admitted request until its intent is logged or `release` is called."""
        self.reservations.add(request_id)

    def release(self, request_id: int) -> None:
        """Release the reservation of a request that ended without being executed."""
        self.reservations.discard(request_id)

    # Executions

    def _transition(self, entry: LiveEntry, entry_input: int) -> None:
        found = entry_states.transition(entry.state, entry_input)
        if found is None:
            self.count("store.invalid_transitions")
            return
        entry.state, effect = found
        if effect is not None:
            self._effects[effect](entry)

    def log_intent(
        self, request_id: int, digest: bytes, window: float, execution_id: bytes, workload: str
    ) -> None:
        """Log that a request is about to be executed; it must not be sent before INTENT_DURABLE is reported.

        Args:
            request_id: The dispatcher's id of the request.
            digest: The digest of its key.
            window: The deduplication window in seconds from now.
            execution_id: The execution's id, 8 bytes.
            workload: The name of the request's workload.
        """
        self.release(request_id)
        until = math.ceil(self.clock.now() + window)
        entry = self.entries[digest] = LiveEntry(request_id, digest, until, execution_id, workload)
        self._transition(entry, entry_states.START)

    def end_execution(
        self, request_id: int, digest: bytes, entry_input: int, body: bytes | None = None
    ) -> None:
        """Log the end of an execution.

        It is ignored if the execution's window is over and its key was executed again since.

        Args:
            request_id: The request whose intent was logged.
            digest: The digest of its key.
            entry_input: SUCCEEDED, ENDED_WITHOUT_RESULT or NEVER_STARTED of `entry_states`.
            body: The result, with SUCCEEDED.
        """
        entry = self.entries.get(digest)
        if entry is None or entry.request_id != request_id:
            return
        entry.body = None
        if entry_input == entry_states.SUCCEEDED:
            assert body is not None
            if self.waiting() + len(body) > self.limits.waiting:
                # Too much waits to be written: the key is recorded as ended, without its result.
                self.count("store.results_lost")
                entry_input = entry_states.ENDED_WITHOUT_RESULT
            else:
                entry.body = body
        self._transition(entry, entry_input)

    def end_unfinished(self, execution_id: bytes, entry_input: int, body: bytes | None = None) -> bool:
        """Log the end, reported by the executor, of an execution from before the start.

        Return False where no unfinished execution has this id. The other arguments are those of
        `end_execution`.
        """
        known = self.unfinished.pop(execution_id, None)
        if known is None:
            return False
        digest, workload = known
        row = self.index.get(digest)
        if row is None or row.state != IN_DOUBT or digest in self.entries:
            return False
        entry = self.entries[digest] = LiveEntry(0, digest, row.until, execution_id, workload)
        entry.state = IN_DOUBT
        self.count("store.doubts_resolved")
        self.end_execution(0, digest, entry_input, body)
        return True

    def unfinished_workload(self, execution_id: bytes) -> str | None:
        """Return the workload of an unfinished execution from before the start, or None."""
        known = self.unfinished.get(execution_id)
        return None if known is None else known[1]

    def _write_intent(self, entry: LiveEntry) -> None:
        record = records.IntentRecord(entry.digest, entry.until, entry.execution_id, entry.workload)
        self.queue(record, entry)

    def _write_result(self, entry: LiveEntry) -> None:
        assert entry.body is not None
        self.queue(records.make_result(entry.digest, entry.until, entry.body), entry)

    def _write_failed(self, entry: LiveEntry) -> None:
        self.queue(records.FailedRecord(entry.digest, entry.until), entry)

    def _write_unsent(self, entry: LiveEntry) -> None:
        self.queue(records.UnsentRecord(entry.digest), entry)

    def _report_intent_durable(self, entry: LiveEntry) -> None:
        self.events.append(StoreEvent(INTENT_DURABLE, entry.request_id, None))

    def _report_intent_lost(self, entry: LiveEntry) -> None:
        self.events.append(StoreEvent(INTENT_LOST, entry.request_id, None))

    def fetch_result(self, request_id: int, lookup: Lookup) -> bytes | None:
        """Return the stored result for a duplicate, or None where it follows later as a RESULT_READ event."""
        entry = lookup.entry if lookup.entry is not None else self.entries.get(lookup.digest)
        if entry is not None and entry.body is not None:
            return entry.body
        row = self.index.get(lookup.digest)
        if row is None:
            self.events.append(StoreEvent(RESULT_READ, request_id, None))
        else:
            request = RecordRead(request_id, lookup.digest)
            self.worker.submit(request, self.writer.read_record, row.segment, row.offset, row.size)
        return None

    # Results of the worker thread

    def collect(self) -> list[StoreEvent]:
        """Handle the results of the worker thread, and return the events since the last call."""
        for request, result in self.worker.collect():
            self._worker_handlers[type(request)](request, result)
        events = self.events
        self.events = []
        return events

    def _on_durable(self, queued: QueuedRecord, offset: int) -> None:
        record = queued.record
        kind = records.KIND_OF_TYPE[type(record)]
        apply_record(self.recovered, self.active, offset, len(queued.data), kind, record)
        if not isinstance(record, records.UnsentRecord):
            self.wheel.add(record.digest, record.until)
        entry = queued.entry
        if entry is None:
            return
        entry.queued -= 1
        if entry.queued:
            return
        if entry.state == INTENT_PENDING and isinstance(record, records.IntentRecord):
            self._transition(entry, entry_states.INTENT_DURABLE)
        if entry.state not in (INTENT_PENDING, EXECUTING):
            self._forget(entry)

    def _forget(self, entry: LiveEntry) -> None:
        if self.entries.get(entry.digest) is entry:
            del self.entries[entry.digest]

    def _on_not_durable(self, batch: list[QueuedRecord]) -> None:
        """Reject pending intents, as requests can't wait for the disk, and queue all other records again."""
        requeued = []
        for queued in batch + self.pending:
            entry = queued.entry
            if entry is None or not isinstance(queued.record, records.IntentRecord):
                requeued.append(queued)
                continue
            entry.queued -= 1
            if entry.state == INTENT_PENDING:
                self._transition(entry, entry_states.INTENT_LOST)
            if entry.queued == 0 and entry.state == ABSENT:
                self._forget(entry)
                # The whole intent may be on the disk: record it as unsent once the disk accepts writes.
                requeued.append(QueuedRecord(records.UnsentRecord(entry.digest), None))
        self.pending = requeued
        self.pending_bytes = sum(len(queued.data) for queued in requeued)

    def _on_record_read(self, request: RecordRead, result: Any) -> None:  # noqa: ANN401 (a record or an error)
        if isinstance(result, OSError):
            self._report_failure("read", result)
            result = None
        if isinstance(result, records.ResultRecord) and result.digest == request.digest:
            self.events.append(StoreEvent(RESULT_READ, request.request_id, result.body))
            return
        row = self.index.get(request.digest)
        moved = row is not None and row.state == STORED and result is not None
        if row is not None and moved and request.digest not in self.entries:
            # Compaction moved the record after the read was requested.
            self.worker.submit(request, self.writer.read_record, row.segment, row.offset, row.size)
            return
        self.count("store.unreadable_records")
        self.events.append(StoreEvent(RESULT_READ, request.request_id, None))

    # In the background

    def maintain(self) -> None:
        """Expire keys, retry a failed disk and advance the background job; called ten times a second."""
        now = self.clock.now()
        for digest in self.wheel.pop_due(now - compaction_policy.LATE_READ_GRACE_S, EXPIRED_PER_SWEEP):
            self._expire(digest, now)
        for _ in range(SHARDS_REBUILT_PER_SWEEP):
            if self.rebuilt_shards < len(self.index.shards):
                for row in self.index.shard_rows(self.rebuilt_shards):
                    self.wheel.add(row.digest, row.until)
                self.rebuilt_shards += 1
        self._step_background(now)

    def _expire(self, digest: bytes, now: float) -> None:
        row = self.index.get(digest)
        if row is None or digest in self.entries:
            return
        if row.until + compaction_policy.LATE_READ_GRACE_S > now:  # Its window was extended.
            self.wheel.add(digest, row.until)
        elif entry_states.transition(row.state, entry_states.WINDOW_ENDED) is not None:
            self.index.remove(digest)
            self.recovered.unfinished.pop(digest, None)
            self.count("store.keys_expired")

    def status_fields(self) -> dict[str, Any]:
        """Return the fields that are reported as gauges, in `status` and in log events."""
        return {
            "keys": self.index.count,
            "live": len(self.entries),
            "log_mb": self.used() / 1e6,
            "segments": len(self.recovered.segments),
            "index_mb": self.index.memory_bytes() / 1e6,
            "waiting": self.waiting(),
            "unsettled": len(self.recovered.unfinished),
            "disk": str(self.health),
            "unsure_s": max(0.0, self.recovered.in_doubt_until - self.clock.now()),
        }
