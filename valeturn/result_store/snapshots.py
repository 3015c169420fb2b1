"""The two long jobs on the log, each in small steps between the owner's turns: a snapshot, a compaction."""

from __future__ import annotations

from . import compaction_policy, records, snapshot
from .opening import key_check

SHARDS_A_STEP = 32  # copied in one sweep: 2 MB of a million keys, under a millisecond
RECORDS_A_STEP = 2000  # of a compacted segment looked at in one sweep: 3 ms


class Snapshotting:
    def __init__(self, kept):
        self.kept, self.next, self.size, self.ended, self.parts = kept, 0, 0, False, 0
        found = kept.found
        # All that is durable now, and nothing else, stands before this position.
        self.position = (kept.active.number, kept.active.size)
        segments = [
            (s.number, s.size, s.longest_until)
            for s in found.segments.values()
            if s.number not in kept.set_aside
        ]
        head = snapshot.encode_head(
            snapshot.Snapshot(
                self.position,
                kept.sequence - (kept.flying is not None),
                kept.clock.timestamp(),
                segments,
                found.unfinished,
                found.in_doubt_until,
                found.longest_window,
                key_check(kept.key),
                None,
            )
        )
        kept.count("store.snapshots")
        self.ask("begin_snapshot", head)

    def ask(self, what, *args):
        self.kept.helper.ask(("job", what, self), getattr(self.kept.journal, what), *args)

    def step(self):
        """False once there is nothing left to do."""
        kept, parts = self.kept, []
        shards = len(kept.index.shards)
        while self.next < shards and len(parts) < SHARDS_A_STEP:
            data = kept.index.dump_shard(self.next)
            if data is not None:
                parts.append(snapshot.encode_shard(self.next, data))
            self.next += 1
        self.parts += len(parts)
        if parts:
            self.ask("write_snapshot", b"".join(parts))
        if self.next == shards and not self.ended:
            self.ended = True
            self.ask("end_snapshot", self.parts)
        return True

    def on_done(self, what, got):
        if what == "end_snapshot":
            kept = self.kept
            kept.position, kept.covered = self.position, self.position[0]
            kept.snapshot_size, kept.job = self.size, None
        else:
            self.size += got


class Compaction:
    """Writes what is still in its window at the end of the log, then drops the segment."""

    def __init__(self, kept, number):
        self.kept, self.number, self.todo, self.copied, self.size = kept, number, None, 0, 0
        self.walk = None  # the next shard to look through for rows whose record could not be read
        self.marks = None  # ids of what must be durable before the segment may go
        self.bad = False
        kept.count("store.compactions")
        kept.helper.ask(("job", "segment", self), kept.journal.read_segment, number)

    def on_done(self, what, data):
        if what != "segment" or self.todo is not None:
            return
        self.size, self.todo = len(data), self._read(data)
        self.kept.count("store.compacted_bytes", len(data))

    def _read(self, data):
        at = len(records.LOG_MAGIC)
        while (frame := records.read_frame(data, at, self.number)) is not None:
            for offset, _, record in records.decode_records(frame.payload):
                yield frame.offset + offset, record
            at = frame.end
        self.bad = at < len(data)  # the tail of a write that failed, or damage

    def step(self):
        """False once the segment is gone."""
        kept = self.kept
        if self.todo is None:
            return True
        if self.marks is None:
            if (
                kept.health == compaction_policy.DiskHealth.HEALTHY
                and kept.waiting() <= kept.bounds.waiting // 2
            ):  # new work goes first
                self._copy_some()
            return True
        waiting = kept.pending + (kept.flying[0] if kept.flying is not None else [])
        if any(id(one) in self.marks for one in waiting):
            return True
        self._end()
        return False

    def _copy_some(self):
        if self.walk is None:
            for _ in range(RECORDS_A_STEP):
                found = next(self.todo, None)
                if found is None:
                    self.walk = 0
                    break
                self._keep(*found)
            return
        if self.bad and self.walk < len(self.kept.index.shards):
            for shard in range(self.walk, self.walk + SHARDS_A_STEP):
                self._keep_unread(shard)
            self.walk += SHARDS_A_STEP
            return
        flying = self.kept.flying[0] if self.kept.flying is not None else []
        self.marks = {
            id(one): one for one in [*self.kept.pending, *flying]
        }  # holds them, so no id comes again

    def _keep(self, offset, record):
        kept = self.kept
        if not isinstance(record, (records.IntentRecord, records.ResultRecord, records.FailedRecord)):
            return
        row, live = kept.index.get(record.digest), kept.live.get(record.digest)
        if row is None or (row.segment, row.offset) != (self.number, offset):
            return  # it stands further on, or is over
        if live is not None and live.queued:
            return  # a newer one is on its way, and is waited for like the copies
        if row.until + compaction_policy.LATE_READ_GRACE > kept.clock.now():
            kept.copy(row, record)
            self.copied += row.size

    def _keep_unread(self, shard):
        """Of what a damaged segment can't tell any more stays known that it ran. Copies that are not durable
        yet still have their rows here: the same is written behind them only for rows that were not copied."""
        kept = self.kept
        copied = {
            one.record.digest for one in kept.pending if one.live is None and hasattr(one.record, "digest")
        }
        if kept.flying is not None:
            copied |= {one.record.digest for one in kept.flying[0] if hasattr(one.record, "digest")}
        for row in kept.index.shard_rows(shard):
            live = kept.live.get(row.digest)
            if row.segment == self.number and row.digest not in copied and not (live and live.queued):
                kept.copy(row, None)
                kept.count("store.unreadable")

    def _end(self):
        kept = self.kept
        if self.copied > compaction_policy.FUTILE_COPY_SHARE * self.size:
            kept.rest_until = kept.clock.now() + compaction_policy.FUTILE_PAUSE
        kept.dropped(self.number)
