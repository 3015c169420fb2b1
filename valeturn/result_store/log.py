"""The log on the disk as it is written: batches, segments, the disk's health, and the long jobs in turn.

Knows no key. What a record that has become durable means, and what is done with one that could not, is for
`Kept`. All calls come from the owner's turn; the disk is reached through the helper alone.
"""

from __future__ import annotations

import time

from . import compaction_policy, directory, records
from .disk_jobs import LogWriter
from .limits import usable_log_bytes
from .opening import key_check, open_store
from .recovery import Segment, unfinished_executions
from .snapshots import Compaction, Snapshotting
from .window_clock import WindowClock

BATCH = 1 << 20  # bytes of records in one write: what waits longer comes with the next


class Queued:
    """A record that waits for the disk."""

    __slots__ = ("data", "live", "record")

    def __init__(self, record, live):
        self.record, self.live, self.data = record, live, records.encode_record(record)


class Log:
    def __init__(self, options, bounds, files, helper, moment, longest, count, log):
        """Opens the folder, which must be prepared. moment(): the clocks. longest: s of the longest window of
        the settings. Raises recovery.StoreRefusedError or OSError."""
        self.options, self.bounds, self.files, self.helper = options, bounds, files, helper
        self.count, self.log, self.longest = count, log, longest
        opened = open_store(files, moment())
        self.opened, self.key = opened, opened.key
        found = self.found = opened.recovered
        self.orphans = unfinished_executions(found)
        found.longest_window = max(found.longest_window, longest)
        self.clock, self.journal, self.index = (
            WindowClock(found.timestamp, moment),
            LogWriter(files),
            found.index,
        )
        self.live = {}  # digest -> Live
        self.pending, self.pending_bytes, self.flying = [], 0, None  # flying: (entries, bytes) at the disk
        self.health, self.retry_at, self.ends = (
            compaction_policy.DiskHealth.HEALTHY,
            0.0,
            list(found.segment_ends),
        )
        self.active, self.begun, self.sequence = None, False, found.sequence
        self.covered, self.snapshot_size = opened.covered, opened.snapshot_size
        self.position = opened.position or (0, 0)
        self.job, self.rest_until = None, 0.0  # the snapshot or compaction under way
        self.set_aside = sorted({n for n, _ in found.damaged} & set(found.segments))
        self.aside = list(opened.set_aside)
        self.wants_snapshot = bool(found.damaged or opened.snapshot_fault)
        for event, fields in found.notes:
            self.log("store_" + event, fields)
        self.rescue()
        self._open_next()

    # What Kept makes of it: a record of the flying batch is durable, at this offset; some can't be made so.

    def _durable(self, one, offset):
        raise NotImplementedError

    def _given_back(self, taken):
        raise NotImplementedError

    def queue(self, record, live=None):
        one = Queued(record, live)
        if live is not None:
            live.queued += 1
        self.pending.append(one)
        self.pending_bytes += len(one.data)

    def flush(self):
        """Hands what waits to the disk, in one write, once the one before is through."""
        if not self.pending or self.flying is not None or self.health != compaction_policy.DiskHealth.HEALTHY:
            return
        if self.active.size >= self.bounds.segment:
            self._open_next()
        taken, size = [], 0
        while len(taken) < len(self.pending) and size < BATCH:
            size += len(self.pending[len(taken)].data)
            taken.append(self.pending[len(taken)])
        del self.pending[: len(taken)]
        self.pending_bytes -= size
        self.sequence += 1
        head = records.encode_record(self.clock.timestamp())
        payload = head + b"".join(one.data for one in taken)
        data = records.encode_frame(self.active.number, self.sequence, payload)
        self.flying = taken, size, len(head)
        self.helper.ask(("appended",), self.journal.append, data)

    def _open_next(self):
        """Asks for the next segment; what was written before stands in its head."""
        self.found.last_segment += 1
        number = self.found.last_segment
        head = records.SegmentHead(
            number,
            tuple(self.ends),
            self.clock.read().boot_id,
            key_check(self.key),
            max(self.longest, self.found.longest_window),
        )
        self.sequence += 1
        parts = [records.encode_record(head), records.encode_record(self.clock.timestamp())]
        if self.found.in_doubt_until > self.clock.now():
            parts.append(records.encode_record(records.InDoubtRecord(self.found.in_doubt_until)))
        data = records.encode_frame(number, self.sequence, b"".join(parts))
        self.begun = False
        self.active = self.found.segments[number] = Segment(number, len(records.LOG_MAGIC) + len(data))
        if self.health != compaction_policy.DiskHealth.HEALTHY:
            self.health = compaction_policy.DiskHealth.REOPENING
        self.helper.ask(("begun", number), self.journal.begin_segment, number, data)

    def _health(self, given):
        found = compaction_policy.DISK_TRANSITIONS.get((self.health, given))
        if found is not None:
            self.health, effect = found
            getattr(self, "disk_" + effect)()

    def disk_abandon(self):
        """What the failed descriptor took can't be known: what it was given is given to another, later."""
        self.retry_at = self.clock.now() + self.options.retry
        self.helper.ask(("closed",), self.journal.abandon)

    def disk_open(self):
        self._open_next()

    def disk_resume(self):
        self.log("store_disk_well", {"segment": self.active.number})

    def failed(self, what, error):
        self.count("store.errors")
        self.log("store_error", {"doing": what, "why": str(error), "errno": getattr(error, "errno", None)})

    def on_begun(self, what, got):
        if isinstance(got, OSError):
            self.failed("begin", got)
            self.found.segments.pop(what[1], None)
            self.found.last_segment -= 1  # the number is used again: one that is missing would be damage
            self.sequence -= 1
            self._health(compaction_policy.DiskEvent.FAILED)
            if self.flying is not None:  # was asked for behind it: its own end comes, and fails
                self.count("store.behind")
        else:
            self.ends, self.begun = [(what[1], got)], True
            self._health(compaction_policy.DiskEvent.REOPENED)

    def on_appended(self, what, got):
        taken, size, head = self.flying
        self.flying = None
        if isinstance(got, OSError):
            self.failed("append", got)
            self.sequence -= 1
            self._health(compaction_policy.DiskEvent.FAILED)
            self._given_back(taken)
            return
        offset = self.active.size + records.FRAME_HEADER.size + head
        for one in taken:
            self._durable(one, offset)
            offset += len(one.data)
        self.active.size += got
        self.ends = [(self.active.number, self.active.size)]
        self.count("store.appends")
        self.count("store.records", len(taken))

    def on_closed(self, what, got):
        pass

    def on_job(self, what, got):
        if isinstance(got, OSError):
            self.failed(what[1], got)
            self.job = None
            self.rest_until = self.clock.now() + self.options.retry
        elif self.job is not None and what[2] is self.job:
            self.job.on_done(what[1], got)

    def rescue(self):
        """At the start, of damaged segments: what can be read is written anew, of the rest is kept that it
        ran."""
        lost = {number for number, _ in self.found.damaged}
        if not lost:
            return
        self.log("store_unsure", {"for_s": round(self.found.in_doubt_until - self.clock.now(), 1)})
        for shard in range(len(self.index.shards)):
            for row in self.index.shard_rows(shard):
                if row.segment in lost:
                    self.copy(row, self._read_now(row))

    def _read_now(self, row):
        try:
            return self.journal.read_record(row.segment, row.offset, row.size)
        except OSError:
            return None

    def copy(self, row, record):
        """Writes an entry anew at the end of the log; without its record, as one that ended."""
        good = (
            isinstance(record, (records.IntentRecord, records.ResultRecord, records.FailedRecord))
            and record.digest == row.digest
        )
        self.queue(record if good else records.FailedRecord(row.digest, row.until))

    def view(self, now):
        segments = tuple(
            (s.number, s.size, s.longest_until)
            for n, s in sorted(self.found.segments.items())
            if n != self.active.number
        )
        at, offset = self.position
        unsnapped = sum(size for number, size, _ in segments if number >= at) + self.active.size - offset
        return compaction_policy.LogView(
            now,
            segments,
            (self.active.number, self.active.size),
            self.covered,
            unsnapped,
            self.snapshot_size,
            self.bounds.segment,
            self.usable(),
            self.health == compaction_policy.DiskHealth.HEALTHY and self.begun,
            self.rest_until,
        )

    def _next_job(self, now):
        view = self.view(now)
        action = compaction_policy.decide(view)
        if action == compaction_policy.LogAction.SNAPSHOT:
            if view.segments and view.segments[0][0] >= self.active.number:
                return
            self.job = Snapshotting(self)
        elif action == compaction_policy.LogAction.DROP:
            self.dropped(view.segments[0][0])
        elif action == compaction_policy.LogAction.COMPACT:
            self.job = Compaction(self, view.segments[0][0])

    def dropped(self, number):
        self.found.segments.pop(number, None)
        self.count("store.segments_dropped")
        self.helper.ask(("job", "drop", None), self.journal.delete_segment, number)

    def _next_aside(self):
        """Damaged segments leave the log once a snapshot stands without them; a few stay for a look."""
        if self.wants_snapshot or self.set_aside[0] >= self.covered:
            self.wants_snapshot, self.job = False, Snapshotting(self)
            return
        number = self.set_aside.pop(0)
        self.found.segments.pop(number, None)
        self.aside.append(number)
        self.log("store_set_aside", {"segment": number})
        self.helper.ask(("job", "set_aside", None), self.journal.set_aside, number)
        while len(self.aside) > self.bounds.damaged:
            gone = self.aside.pop(0)
            self.helper.ask(("job", "drop", None), self.files.remove, directory.damaged_file(gone))

    def used(self):
        return sum(segment.size for segment in self.found.segments.values())

    def usable(self):
        return usable_log_bytes(self.bounds)

    def waiting(self):
        return self.pending_bytes + (self.flying[1] if self.flying else 0)

    def close(self, patience):
        """What waits goes to the disk, for so many seconds at the most. True where all of it did."""
        until = time.monotonic() + patience
        while time.monotonic() < until:
            self.collect()
            self.flush()
            if self.flying is None and not self.pending:
                break
            if self.health != compaction_policy.DiskHealth.HEALTHY:
                break
            time.sleep(0.001)
        done = not self.pending and self.flying is None
        self.helper.finish(max(0.0, until - time.monotonic()))
        self.files.release()
        return done

    def compact_all(self):
        """Compacts every segment there was at the start; for the command, with a helper that does all at
        once."""
        self.wants_snapshot = False
        self.finish(Snapshotting(self))
        for number in sorted(n for n in self.found.segments if n < self.active.number):
            self.finish(Compaction(self, number))
        self.finish(Snapshotting(self))

    def finish(self, job):
        """Does a long job in one go, for the commands."""
        self.job = job
        while self.job is not None:
            if not job.step():
                self.job = None
            self.flush()
            self.collect()
            if self.helper.busy:
                time.sleep(0.001)
            if self.health != compaction_policy.DiskHealth.HEALTHY:
                return

    def work(self, now):
        """One step of what is done in the background."""
        if (
            self.health == compaction_policy.DiskHealth.BACKING_OFF
            and now >= self.retry_at
            and self.flying is None
        ):
            self._health(compaction_policy.DiskEvent.RETRY)
        if self.job is not None:
            if not self.job.step():
                self.job = None
        elif (
            (self.wants_snapshot or self.set_aside)
            and self.health == compaction_policy.DiskHealth.HEALTHY
            and self.begun
        ):
            if not self.pending and self.flying is None:
                self._next_aside()
        else:
            self._next_job(now)
        self.flush()
