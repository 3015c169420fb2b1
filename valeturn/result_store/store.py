"""The store as the owner of the module meets it: what a repeat meets, intents before starts, results after.

All calls come from the owner's turn. The disk is reached through the helper alone; what came of it is taken
with `collect`, also in the owner's turn, so that nothing here is ever seen half done.
"""

from __future__ import annotations

import math

import blake3

from . import compaction_policy, entry_states, records
from .entry_states import ABSENT, EXECUTING, IN_DOUBT, INTENT_PENDING, STORED, LookupOutcome
from .limits import INTENT_SIZE, MAX_RECORD_SIZE
from .log import Log, Queued
from .recovery import apply_record
from .timing_wheel import TimingWheel

EXPIRED_A_SWEEP = 2000  # keys forgotten in one sweep at the most: 4 ms, ten times a second
REBUILT_A_SWEEP = 4  # shards whose rows go to the wheel after a start: some thousand keys, 2 ms
PROMISED = (
    MAX_RECORD_SIZE + INTENT_SIZE
)  # bytes of log that one key takes at the most: an intent and the longest result


class Live:
    """An entry whose last record is not on the disk yet, or whose run is not over."""

    __slots__ = ("body", "call", "digest", "number", "queued", "state", "until", "workload")

    def __init__(self, number, digest, until, call, workload):
        self.number, self.digest, self.until, self.call, self.workload = number, digest, until, call, workload
        self.state, self.body, self.queued = ABSENT, None, 0  # records of it that wait for the disk


class Meets:
    """What a newcomer with a known key meets: a row of entry.MEETS, and where the answer lies."""

    __slots__ = ("digest", "how", "live")

    def __init__(self, how, digest, live=None):
        self.how, self.digest, self.live = how, digest, live


class Kept(Log):
    def __init__(self, options, bounds, files, helper, moment, longest, count, log):
        """As `Log`."""
        super().__init__(options, bounds, files, helper, moment, longest, count, log)
        self.promised, self.news = set(), []  # ids of those let in
        self.wheel, self.rebuilt = TimingWheel(self.clock.now()), 0

    # ---- keys and what they meet

    def digest(self, workload, mark):
        """16 bytes: what the folder's key makes of both names. Keys themselves never reach the disk."""
        name = workload.encode()
        text = len(name).to_bytes(2, "little") + name + mark.encode()
        return blake3.blake3(text, key=self.key).digest(16)

    def meets(self, digest, waited):
        """What a newcomer that reached the machine `waited` seconds ago meets."""
        reached = self.clock.now() - waited
        live = self.live.get(digest)
        if live is not None and live.state != ABSENT:
            return Meets(
                entry_states.LOOKUP_OUTCOMES[live.state] if live.until > reached else LookupOutcome.EXECUTE,
                digest,
                live,
            )
        row = self.index.get(digest)
        if row is None or row.until <= reached:
            return Meets(LookupOutcome.EXECUTE, digest)
        return Meets(entry_states.LOOKUP_OUTCOMES[row.state], digest)

    def room_in(self):
        """Seconds until one more key may be kept; 0 now."""
        now, b = self.clock.now(), self.bounds
        earliest = self.wheel.earliest()
        return compaction_policy.retry_after(
            compaction_policy.CapacityView(
                keys=self.index.count + len(self.live) + len(self.promised),
                max_keys=b.keys,
                used=self.used(),
                reserved=(len(self.live) + len(self.promised)) * PROMISED,
                usable=self.usable(),
                waiting=self.waiting(),
                max_waiting=b.waiting,
                in_doubt_for=self.found.in_doubt_until - now,
                disk_retry_in=0.0
                if self.health == compaction_policy.DiskHealth.HEALTHY
                else max(0.01, self.retry_at - now),
                earliest_end_in=0.0 if earliest is None else max(0.0, earliest - now),
            )
        )

    def promise(self, number):
        """Room is kept for one that was let in; `release` when it is over and never noted."""
        self.promised.add(number)

    def release(self, number):
        self.promised.discard(number)

    # ---- the table's inputs

    def move(self, live, given):
        found = entry_states.transition(live.state, given)
        if found is None:
            self.count("store.no_move")
            return
        live.state, effect = found
        if effect is not None:
            getattr(self, "do_" + effect)(live)

    def note(self, number, digest, lasting, call, workload):
        """The module starts it: its intent goes to the disk before anything goes to the executor."""
        self.release(number)
        until = math.ceil(self.clock.now() + lasting)
        live = self.live[digest] = Live(number, digest, until, call, workload)
        self.move(live, entry_states.START)

    def over(self, number, digest, given, body=None):
        """The run of a noted one is over: DONE with its result, ENDED without, or UNBEGUN. One whose window
        ended while it ran, and whose key has run again, is nobody's any more."""
        live = self.live.get(digest)
        if live is None or live.number != number:
            return
        if given == entry_states.SUCCEEDED and self.waiting() + len(body) > self.bounds.waiting:
            self.count("store.results_lost")  # the disk is behind: known as ended, without its result
            given = entry_states.ENDED_WITHOUT_RESULT
        live.body = body if given == entry_states.SUCCEEDED else None
        self.move(live, given)

    def told(self, call, given, body=None):
        """The executor tells of a run from before the restart. False where none is known by that call."""
        known = self.orphans.pop(call, None)
        row = None if known is None else self.index.get(known[0])
        if row is None or row.state != IN_DOUBT or known[0] in self.live:
            return False
        live = self.live[known[0]] = Live(0, known[0], row.until, call, known[1])
        live.state = IN_DOUBT
        self.count("store.settled")
        self.over(0, known[0], given, body)
        return True

    def unsettled(self, call):
        """The workload of a run from before the restart, or None."""
        known = self.orphans.get(call)
        return None if known is None else known[1]

    def do_write_intent(self, live):
        self.queue(records.IntentRecord(live.digest, live.until, live.call, live.workload), live)

    def do_write_result(self, live):
        self.queue(records.make_result(live.digest, live.until, live.body), live)

    def do_write_failed(self, live):
        self.queue(records.FailedRecord(live.digest, live.until), live)

    def do_write_unsent(self, live):
        self.queue(records.UnsentRecord(live.digest), live)

    def do_send(self, live):
        self.news.append(("synced", live.number, None))

    def do_reject(self, live):
        self.news.append(("unsynced", live.number, None))

    def fetch(self, number, meets):
        """The kept result for a repeat: its bytes, or None where it is read by the helper and comes as
        news."""
        live = meets.live if meets.live is not None else self.live.get(meets.digest)
        if live is not None and live.body is not None:
            return live.body
        row = self.index.get(meets.digest)
        if row is None:
            self.news.append(("fetched", number, None))
        else:
            self.helper.ask(
                ("fetched", number, meets.digest), self.journal.read_record, row.segment, row.offset, row.size
            )
        return None

    # ---- the disk

    def collect(self):
        """Takes what the helper has done, and returns the news since: (kind, id, body) with kind `synced`:
        send it; `unsynced`: it must not run; `fetched`: the result, or None."""
        for what, got in self.helper.taken():
            getattr(self, "on_" + what[0])(what, got)
        news, self.news = self.news, []
        return news

    def _durable(self, one, offset):
        record, live = one.record, one.live
        apply_record(
            self.found, self.active, offset, len(one.data), records.KIND_OF_TYPE[type(record)], record
        )
        if isinstance(record, (records.IntentRecord, records.ResultRecord, records.FailedRecord)):
            self.wheel.add(record.digest, record.until)
        if live is None:
            return
        live.queued -= 1
        if isinstance(record, records.IntentRecord):
            if live.state == INTENT_PENDING and live.queued == 0:
                self.move(live, entry_states.INTENT_DURABLE)
        if live.queued == 0 and live.state not in (INTENT_PENDING, EXECUTING):
            self.forget(live)

    def forget(self, live):
        if self.live.get(live.digest) is live:
            del self.live[live.digest]

    def _given_back(self, taken):
        """After a failed write: intents can't be waited for, the rest is written again elsewhere."""
        again = []
        for one in taken + self.pending:
            live = one.live
            if isinstance(one.record, records.IntentRecord) and live is not None:
                live.queued -= 1
                if live.state == INTENT_PENDING:
                    self.move(live, entry_states.INTENT_LOST)
                if live.queued == 0 and live.state == ABSENT:
                    self.forget(live)
                    # It may be on the disk whole: said to be unsent once the disk takes writes again.
                    again.append(Queued(records.UnsentRecord(live.digest), None))
            else:
                again.append(one)
        self.pending, self.pending_bytes = again, sum(len(one.data) for one in again)

    def on_fetched(self, what, got):
        if isinstance(got, OSError):
            self.failed("read", got)
            got = None
        if isinstance(got, records.ResultRecord) and got.digest == what[2]:
            self.news.append(("fetched", what[1], got.body))
            return
        live = self.live.get(what[2])
        row = self.index.get(what[2])
        if live is None and row is not None and row.state == STORED and got is not None:
            # Compaction moved it between the question and the reading.
            self.helper.ask(what, self.journal.read_record, row.segment, row.offset, row.size)
            return
        self.count("store.unreadable")
        self.news.append(("fetched", what[1], None))

    # ---- in the background

    def upkeep(self):
        """Ten times a second: forgets what is over, tries a disk that failed, goes on with the log's work."""
        now = self.clock.now()
        for digest in self.wheel.pop_due(now - compaction_policy.LATE_READ_GRACE, EXPIRED_A_SWEEP):
            self._expire(digest, now)
        for _ in range(REBUILT_A_SWEEP):
            if self.rebuilt < len(self.index.shards):
                for row in self.index.shard_rows(self.rebuilt):
                    self.wheel.add(row.digest, row.until)
                self.rebuilt += 1
        self.work(now)

    def _expire(self, digest, now):
        row = self.index.get(digest)
        if row is None or digest in self.live:
            return
        if row.until + compaction_policy.LATE_READ_GRACE > now:  # its window grew
            self.wheel.add(digest, row.until)
        elif entry_states.transition(row.state, entry_states.WINDOW_ENDED) is not None:
            self.index.remove(digest)
            self.found.unfinished.pop(digest, None)
            self.count("store.expired")

    def figures(self):
        """For the counters and the commands."""
        return {
            "keys": self.index.count,
            "live": len(self.live),
            "log_mb": self.used() / 1e6,
            "segments": len(self.found.segments),
            "index_mb": self.index.memory_bytes() / 1e6,
            "waiting": self.waiting(),
            "unsettled": len(self.found.unfinished),
            "disk": self.health,
            "unsure_s": max(0.0, self.found.in_doubt_until - self.clock.now()),
        }
