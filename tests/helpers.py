"""A slow, plain model of the four rules, which says of each action whether it is allowed; the protocol's
bytes; and in-memory ends for the routing."""

import json
import struct
import time
from collections import deque

from valeturn.admission import interface
from valeturn.dispatch.dispatcher import Collaborators, Dispatcher, Instrumentation
from valeturn.dispatch.messages import ExecutorConnected, SubmissionReceived
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol import frames
from valeturn.server.resource_limits import derive

IDEMPOTENT, DEDUPLICATED, UNREPEATABLE = (
    interface.Effect.IDEMPOTENT,
    interface.Effect.DEDUPLICATED,
    interface.Effect.UNREPEATABLE,
)
WORKLOADS = (
    interface.Workload(
        "read", IDEMPOTENT, 1.0, 3.0, 1.0, late_value_share=0.2, makes_call=True, degraded_value_share=0.6
    ),
    interface.Workload("book", DEDUPLICATED, 2.0, 6.0, 5.0, deduplication_window=8.0),
    interface.Workload("file", UNREPEATABLE, 2.0, 5.0, 3.0, makes_call=True),
)


def settings(**changes):
    base = interface.Settings(
        workloads=WORKLOADS,
        tenants=(interface.Tenant("a", 5.0), interface.Tenant("b", 5.0)),
        servers=2,
        cores=2,
        memory=4000.0,
        run_memory_factor=4.0,
        key_memory=10.0,
        interruption=interface.Interruption.CANCEL,
        tick=0.005,
        answer_slack=0.1,
        drain_grace=1.0,
        max_concurrency_per_core=8.0,
        cold_start_speed=0.2,
        warm_up_time=10.0,
        call_quota=4.0,
        call_quota_window=5.0,
        call_linger=0.2,
        max_retry_after=1.0,
        value_per_unit_of_work=True,
    )
    return base._replace(**changes)


class Model:
    """Holds what the wire says is true. `act` breaks with AssertionError on a forbidden action."""

    def __init__(self, rules, s):
        self.rules, self.s, self.now, self.subs, self.timers, self.entries = rules, s, 0.0, {}, [], {}
        self.leave = self.stop = None
        self.sent, self.ran = [], []  # ran: (key, reached) of deduplicated runs
        self.calls = []  # [since, until] of calls, given-up ones lingering

    def batch(self, now, *events):
        self.now = now
        for e in events:
            if isinstance(e, interface.Arrived):
                w = self.s.workloads[e.workload]
                left = e.time_left if e.time_left is not None else w.timeout - e.waited
                self.subs[e.id] = dict(
                    e=e,
                    w=w,
                    due=max(now, now + left),
                    reached=now - e.waited,
                    at="held",
                    ran=False,
                    owed=True,
                    called=False,
                    unrun=False,
                    fresh=False,
                )
            elif isinstance(e, interface.CallerGone):
                if self.subs[e.id]["at"] == "calling":
                    self.over(self.subs[e.id], self.s.call_linger)
                self.subs[e.id]["owed"] = False
                if self.subs[e.id]["at"] in ("held", "paused", "joined"):
                    self.subs[e.id]["at"] = "over"
            elif isinstance(e, interface.Ended):
                self.subs[e.id]["fresh"] &= e.outcome is interface.Outcome.UNSTORED
                self.end(self.subs[e.id], e.outcome)
            elif isinstance(e, interface.CallRequested):
                self.subs[e.id].update(at="at call", called=False)
            elif isinstance(e, interface.CallEnded):
                done = e.outcome is interface.Outcome.DONE
                proved = e.outcome in (
                    interface.Outcome.REFUSED,
                    interface.Outcome.UNREACHED,
                    interface.Outcome.MOOT,
                )
                self.subs[e.id].update(at="running" if done else "at call", unrun=proved)
                self.over(self.subs[e.id], 0.0 if done or proved else self.s.call_linger)
            elif isinstance(e, interface.DrainStarted):
                self.leave, self.stop = now, now + e.time_left
        self.timers = [t for t in self.timers if t > now]
        actions = self.rules.decide(now, list(events))
        for a in actions:
            self.act(a)
        self.sent += actions
        self.check()
        return actions

    def over(self, sub, linger):
        call = self.calls[sub["call"]]
        call[1] = min(call[1], self.now + linger)

    def end(self, sub, outcome):
        if outcome is interface.Outcome.UNSTORED:  # it never began: what the start set down is undone
            self.ran.remove((sub["e"].subject, sub["reached"]))
            sub.update(at="held" if sub["owed"] else "over", ran=False, fresh=False)
        elif outcome is interface.Outcome.CANCELLED and sub["owed"]:
            sub["at"] = "paused" if self.s.interruption is interface.Interruption.SUSPEND else "held"
        else:
            sub.update(at="over", owed=False)

    def act(self, a):
        if isinstance(a, interface.SetTimer):
            self.timers.append(self.now + a.delay)
        sub = self.subs.get(getattr(a, "id", None))
        assert sub is not None or not hasattr(a, "id"), f"acts on one never read: {a}"
        if sub is None or sub["at"] == "over":
            return
        w = sub["w"]
        if isinstance(a, interface.Start):
            assert sub["at"] in ("held", "paused") and sub["owed"], a
            assert not (sub["ran"] and sub["at"] == "held" and w.effect is not IDEMPOTENT), "run twice"
            if self.leave is not None:
                assert sub["reached"] <= self.leave + self.s.drain_grace, "run after the grace"
            if w.effect is DEDUPLICATED and not sub["ran"]:
                key = sub["e"].subject
                assert all(k != key or sub["reached"] - r > w.deduplication_window for k, r in self.ran), (
                    "effect twice"
                )
                assert self.entries.get(key, (0,))[0] >= sub["reached"] + w.deduplication_window, (
                    "run without an entry"
                )
                assert not sub["e"].deduplication_ready_in, "run though it can't be noted down"
                self.ran.append((key, sub["reached"]))
                sub["fresh"] = True
            sub.update(at="running", ran=True)
        elif isinstance(a, interface.Reject):
            assert sub["owed"] and not (sub["ran"] and w.effect is not IDEMPOTENT), "turned back once run"
            if sub["at"] == "joined":
                assert not self.subs[sub["e"].duplicate_of]["ran"], "turned back a repeat of one that has run"
            sub.update(owed=False, at="over" if sub["at"] in ("held", "paused", "joined") else "spent")
        elif isinstance(a, interface.Fail):
            assert sub["owed"], "second answer"
            if sub["at"] == "calling":
                self.over(sub, self.s.call_linger)
            sub.update(owed=False, at="over" if sub["at"] in ("held", "paused", "joined") else "spent")
        elif isinstance(a, interface.Interrupt):
            assert self.s.interruption is not interface.Interruption.UNSUPPORTED
        elif isinstance(a, interface.Call):
            assert sub["at"] == "at call" and a.timeout > 0
            assert not sub["called"] or sub["unrun"] or w.effect is IDEMPOTENT, "call repeated"
            sub.update(at="calling", called=True, call=len(self.calls))
            self.calls.append([self.now, self.now + a.timeout + self.s.call_linger])
        elif isinstance(a, interface.BypassCall):
            assert sub["at"] == "at call" and w.degraded_value_share > 0
            sub["at"] = "running"
        elif isinstance(a, interface.StoreKey) and w.effect is DEDUPLICATED:
            self.entries[sub["e"].subject] = (self.now + a.lifetime, a.id)
        elif isinstance(a, interface.Forget):
            if self.entries.get(sub["e"].subject, (0, 0))[1] == a.id:
                assert not sub["ran"], "forgot one that has run"
                del self.entries[sub["e"].subject]
        elif isinstance(a, interface.AnswerFromOriginal):
            assert sub["e"].duplicate_of is not None
            sub["at"] = "joined"

    def first_try(self, key, reached):
        """What the wire would say a deduplicated newcomer repeats."""
        until, first = self.entries.get(key, (0.0, None))
        return first if until > reached else None

    def check(self):
        alive = [sub for sub in self.subs.values() if sub["at"] != "over"]
        for sub in alive:
            assert not sub["owed"] or self.now <= sub["due"] + self.s.answer_slack, "answer overdue"
            assert not sub["owed"] or self.stop is None or self.now < self.stop, "unanswered at the stop"
        memory = sum(until > self.now for until, _ in self.entries.values()) * self.s.key_memory
        for sub in alive:
            factor = 1.0 if sub["at"] in ("held", "joined") else self.s.run_memory_factor
            memory += sub["e"].memory * factor
        assert memory <= self.s.memory, "out of memory"
        share = 1.0
        if self.s.starts_cold:
            share = min(
                1.0, self.s.cold_start_speed + (1 - self.s.cold_start_speed) * self.now / self.s.warm_up_time
            )
        crowd = sum(sub["at"] in ("running", "spent") for sub in alive)
        assert crowd <= self.s.cores * (1 + (self.s.max_concurrency_per_core - 1) * share), "crowded"
        start = self.now - self.s.call_quota_window
        out = sum(max(0.0, min(self.now, until) - max(start, since)) for since, until in self.calls)
        assert out <= self.s.call_quota * self.s.call_quota_window, "too many calls out"


def frame(kind, stream, payload=b""):
    return struct.pack("<IBI", len(payload) + 5, kind, stream) + payload


def submission(stream, rank="0.5", body=b"body", **changes):
    fields = {
        "op": "quote",
        "call": "9b1f03aa5c7e2d41",
        "recv": "1764576000123",
        "src": "4",
        "org": "acme",
        "ttl": "480",
        "work": "12.50",
        "heap": "24.5",
        "crit": rank,
        "x-new": "?",
        **changes,
    }
    fields = {name: value for name, value in fields.items() if value is not None}
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        name, value = name.encode(), value.encode()
        parts += struct.pack("<B", len(name)), name, struct.pack("<H", len(value)), value
    return frame(7, stream, b"".join(parts) + body)


class Ends:
    """Plays scheduler, link, ledger, reporter and module of a Dispatcher in memory."""

    def __init__(self, rules=None, kept=None, **changes):
        self.now, self.up, self.lines, self.calls, self.given_up = 100.0, True, [], [], []
        self.told, self.logged, self.counts, self.script, self.heard, self.later = [], [], {}, [], [], []
        self.settings = settings(**changes)
        self.workloads = {w.name: index for index, w in enumerate(self.settings.workloads)}
        self.tenants, self.passes_wait = {t.name: i for i, t in enumerate(self.settings.tenants)}, True
        self.dispatcher = Dispatcher(
            self,
            self,
            derive(384, 64),
            None,
            lambda cold, age: rules or self,
            Collaborators(self, self, self, self),
            Instrumentation(self.count, self, lambda event, *_, **__: self.logged.append(event)),
            kept,
        )
        self.turn(ExecutorConnected(False, 0.0), do=[interface.Health(True, True)])
        self.numbers = 0

    # the scheduler
    def clock(self):
        return self.now

    def spawn(self, function, *args, name=None):
        function(*args)

    def call_later(self, delay, function, *args):
        self.later.append((delay, function, args))

    # names, counters, reporter, times
    def gauges(self, values):
        return interface.Gauges(*values)

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def tell(self, serving):
        self.told.append(serving)

    def add(self, name, seconds):
        pass

    # the link
    def send(self, line):
        if self.up and json.loads(line)["t"] != "METER":
            self.lines.append(json.loads(line))
        return self.up

    def check(self):
        pass

    # the ledger
    def call(self, number, attempt, reference, wait, body):
        self.calls.append((number, attempt, reference, body))

    def give_up(self, number):
        self.given_up.append(number)

    # the module
    def decide(self, now, events):
        self.heard += events
        actions, self.script = self.script, []
        return actions

    def turn(self, *messages, do=()):
        """One turn of the dispatcher, in which a scripted module answers with `do`; returns the new
        commands."""
        self.script, before = list(do), len(self.lines)
        taken, self.dispatcher.mailbox.items = list(self.dispatcher.mailbox.items), deque()
        self.dispatcher.turn(taken + list(messages))
        return [(m["t"], m.get("rid")) for m in self.lines[before:]]

    def fail_once(self):
        healthy = self.decide

        def fail(now, events):
            self.decide = healthy
            raise ZeroDivisionError

        self.decide = fail

    def arrive(self, workload, connection, do=(), **changes):
        self.numbers += 1
        changes = {
            "call_id": f"{self.numbers:016x}",
            "stream": self.numbers,
            "arrived_at": time.time(),
            **changes,
        }
        base = frames.Submission(1, "", workload, "a", 0.0, 2.0, 0.1, 8.0, 0.5, 1, None, None, False, b"body")
        came = SubmissionReceived(connection, base._replace(**changes))
        self.turn(came, do=[action(self.dispatcher.numbers + 1) for action in do])
        return self.dispatcher.numbers, came.submission.call_id

    def gauge(self):
        """What the executor answers to gauges asked for now: all commands before have arrived."""
        self.dispatcher.executions.mark += 1
        self.turn(executor_protocol.GaugesReported(str(self.dispatcher.executions.mark), (0.1, 0, 0.1, 1)))


class Caller:
    """A connection that keeps what it is answered."""

    def __init__(self):
        self.answers, self.refused, self.unread = [], None, []

    def refuse(self, stream, why):
        self.unread.append(why)
        self.turn_back(stream, None)

    def refuse_connection(self, reason):
        self.refused = reason

    def deliver(self, stream, load, result):
        self.answers.append((stream, frames.DELIVERED, result))

    def turn_back(self, stream, load, retry_in=0.0, final=False):
        self.answers.append((stream, frames.REJECTED, b""))
        self.retry_in = retry_in

    def write_off(self, stream, load):
        self.answers.append((stream, frames.FAILED, b""))

    def tell_health(self, stream, load, good):
        self.answers.append((stream, int(good), b""))
