"""Test doubles: a model that checks the admission controller's actions, wire bytes, a dispatcher harness."""

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
    """Return settings for tests of the admission controller, with changes."""
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
    """A slow, plain model of the four rules for an admission controller.

    It keeps the state that the events and actions imply. `act` fails with AssertionError on an action that
    the rules forbid in that state.
    """

    def __init__(self, rules, settings):
        self.rules, self.settings, self.now, self.subs, self.timers, self.entries = (
            rules,
            settings,
            0.0,
            {},
            [],
            {},
        )
        # Each of `subs` is a dict; "at" is where it stands: held, running, at call (wants to call), calling,
        # paused (suspended), joined (waits for its original), spent (answered, still running) or over. "owed"
        # tells whether it needs an answer, and "fresh" whether its first start may still be undone.
        self.leave = self.stop = None  # when a drain began, and when the process stops
        # All actions so far; (key, arrival time) of deduplicated executions.
        self.sent, self.executed = [], []
        self.calls = []  # [start, end] of calls; the time that cancelled ones linger at the dependency counts

    def batch(self, now, *events):
        """Take the events into the model, have the controller decide, and check its actions."""
        self.now = now
        for event in events:
            if isinstance(event, interface.Arrived):
                workload = self.settings.workloads[event.workload]
                time_left = (
                    event.time_left if event.time_left is not None else workload.timeout - event.waited
                )
                self.subs[event.id] = dict(
                    event=event,
                    workload=workload,
                    due=max(now, now + time_left),
                    reached=now - event.waited,
                    at="held",
                    ran=False,
                    owed=True,
                    called=False,
                    unrun=False,
                    fresh=False,
                )
            elif isinstance(event, interface.CallerGone):
                if self.subs[event.id]["at"] == "calling":
                    self.end_call(self.subs[event.id], self.settings.call_linger)
                self.subs[event.id]["owed"] = False
                if self.subs[event.id]["at"] in ("held", "paused", "joined"):
                    self.subs[event.id]["at"] = "over"
            elif isinstance(event, interface.Ended):
                self.subs[event.id]["fresh"] &= event.outcome is interface.Outcome.UNSTORED
                self.end(self.subs[event.id], event.outcome)
            elif isinstance(event, interface.CallRequested):
                self.subs[event.id].update(at="at call", called=False)
            elif isinstance(event, interface.CallEnded):
                done = event.outcome is interface.Outcome.DONE
                proved = event.outcome in (
                    interface.Outcome.REFUSED,
                    interface.Outcome.UNREACHED,
                    interface.Outcome.MOOT,
                )
                self.subs[event.id].update(at="running" if done else "at call", unrun=proved)
                self.end_call(self.subs[event.id], 0.0 if done or proved else self.settings.call_linger)
            elif isinstance(event, interface.DrainStarted):
                self.leave, self.stop = now, now + event.time_left
        self.timers = [timer for timer in self.timers if timer > now]
        actions = self.rules.decide(now, list(events))
        for action in actions:
            self.act(action)
        self.sent += actions
        self.check()
        return actions

    def end_call(self, sub, linger):
        """End a call; the dependency works on it for `linger` seconds more at most."""
        call = self.calls[sub["call"]]
        call[1] = min(call[1], self.now + linger)

    def end(self, sub, outcome):
        """End an execution in the model."""
        if outcome is interface.Outcome.UNSTORED:  # it never began, so what the start recorded is undone
            self.executed.remove((sub["event"].subject, sub["reached"]))
            sub.update(at="held" if sub["owed"] else "over", ran=False, fresh=False)
        elif outcome is interface.Outcome.CANCELLED and sub["owed"]:
            sub["at"] = "paused" if self.settings.interruption is interface.Interruption.SUSPEND else "held"
        else:
            sub.update(at="over", owed=False)

    def act(self, action):
        """Check an action against the model, and change the model by it."""
        if isinstance(action, interface.SetTimer):
            self.timers.append(self.now + action.delay)
        sub = self.subs.get(getattr(action, "id", None))
        assert sub is not None or not hasattr(action, "id"), f"acts on an unknown id: {action}"
        if sub is None or sub["at"] == "over":
            return
        workload = sub["workload"]
        if isinstance(action, interface.Start):
            assert sub["at"] in ("held", "paused") and sub["owed"], action
            assert not (sub["ran"] and sub["at"] == "held" and workload.effect is not IDEMPOTENT), "run twice"
            if self.leave is not None:
                assert sub["reached"] <= self.leave + self.settings.drain_grace, "run after the grace"
            if workload.effect is DEDUPLICATED and not sub["ran"]:
                key = sub["event"].subject
                assert all(
                    other_key != key or sub["reached"] - arrived_at > workload.deduplication_window
                    for other_key, arrived_at in self.executed
                ), "effect twice"
                assert self.entries.get(key, (0,))[0] >= sub["reached"] + workload.deduplication_window, (
                    "run without an entry"
                )
                assert not sub["event"].deduplication_ready_in, "run though its key can't be kept"
                self.executed.append((key, sub["reached"]))
                sub["fresh"] = True
            sub.update(at="running", ran=True)
        elif isinstance(action, interface.Reject):
            assert sub["owed"] and not (sub["ran"] and workload.effect is not IDEMPOTENT), (
                "rejected after it ran"
            )
            if sub["at"] == "joined":
                assert not self.subs[sub["event"].duplicate_of]["ran"], (
                    "rejected a duplicate of one that has run"
                )
            sub.update(owed=False, at="over" if sub["at"] in ("held", "paused", "joined") else "spent")
        elif isinstance(action, interface.Fail):
            assert sub["owed"], "second answer"
            if sub["at"] == "calling":
                self.end_call(sub, self.settings.call_linger)
            sub.update(owed=False, at="over" if sub["at"] in ("held", "paused", "joined") else "spent")
        elif isinstance(action, interface.Interrupt):
            assert self.settings.interruption is not interface.Interruption.UNSUPPORTED
        elif isinstance(action, interface.Call):
            assert sub["at"] == "at call" and action.timeout > 0
            assert not sub["called"] or sub["unrun"] or workload.effect is IDEMPOTENT, "call repeated"
            sub.update(at="calling", called=True, call=len(self.calls))
            self.calls.append([self.now, self.now + action.timeout + self.settings.call_linger])
        elif isinstance(action, interface.BypassCall):
            assert sub["at"] == "at call" and workload.degraded_value_share > 0
            sub["at"] = "running"
        elif isinstance(action, interface.StoreKey) and workload.effect is DEDUPLICATED:
            self.entries[sub["event"].subject] = (self.now + action.lifetime, action.id)
        elif isinstance(action, interface.Forget):
            if self.entries.get(sub["event"].subject, (0, 0))[1] == action.id:
                assert not sub["ran"], "forgot the key of one that has run"
                del self.entries[sub["event"].subject]
        elif isinstance(action, interface.AnswerFromOriginal):
            assert sub["event"].duplicate_of is not None
            sub["at"] = "joined"

    def first_try(self, key, reached):
        """Return the id of the submission that a new one with this key duplicates, or None."""
        valid_until, first = self.entries.get(key, (0.0, None))
        return first if valid_until > reached else None

    def check(self):
        """Check what has to hold after each batch: deadlines, memory, concurrency and calls."""
        alive = [sub for sub in self.subs.values() if sub["at"] != "over"]
        for sub in alive:
            assert not sub["owed"] or self.now <= sub["due"] + self.settings.answer_slack, "answer overdue"
            assert not sub["owed"] or self.stop is None or self.now < self.stop, "unanswered at the stop"
        memory = sum(until > self.now for until, _ in self.entries.values()) * self.settings.key_memory
        for sub in alive:
            memory_factor = 1.0 if sub["at"] in ("held", "joined") else self.settings.run_memory_factor
            memory += sub["event"].memory * memory_factor
        assert memory <= self.settings.memory, "out of memory"
        speed = 1.0
        if self.settings.starts_cold:
            speed = min(
                1.0,
                self.settings.cold_start_speed
                + (1 - self.settings.cold_start_speed) * self.now / self.settings.warm_up_time,
            )
        running = sum(sub["at"] in ("running", "spent") for sub in alive)
        assert running <= self.settings.cores * (1 + (self.settings.max_concurrency_per_core - 1) * speed), (
            "too many running"
        )
        window_start = self.now - self.settings.call_quota_window
        out = sum(max(0.0, min(self.now, end) - max(window_start, start)) for start, end in self.calls)
        assert out <= self.settings.call_quota * self.settings.call_quota_window, "too many calls out"


def frame(kind, stream, payload=b""):
    """Return the bytes of one frame of the gateway protocol."""
    return struct.pack("<IBI", len(payload) + 5, kind, stream) + payload


def submission(stream, rank="0.5", body=b"body", **changes):
    """Return the frame of a submission; a field that is changed to None is left out."""
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


class DispatcherHarness:
    """Runs a Dispatcher in memory and stands in for all parties that it speaks with.

    It is the scheduler, the settings, the executor, the ledger, the registry and, unless another is given,
    the admission controller, which returns the `actions` that a test gives to `turn` or `arrive`.
    """

    def __init__(self, controller=None, result_store=None, **changes):
        self.now, self.connected, self.commands, self.calls, self.cancelled_calls = 100.0, True, [], [], []
        self.serving_reports, self.logged, self.counts, self.next_actions, self.events, self.scheduled = (
            [],
            [],
            {},
            [],
            [],
            [],
        )
        self.settings = settings(**changes)
        self.workloads = {workload.name: index for index, workload in enumerate(self.settings.workloads)}
        self.tenants, self.passes_wait = (
            {tenant.name: index for index, tenant in enumerate(self.settings.tenants)},
            True,
        )
        self.dispatcher = Dispatcher(
            self,
            self,
            derive(384, 64),
            None,
            lambda cold, age: controller or self,
            Collaborators(self, self, self, self),
            Instrumentation(self.count, self, lambda event, *_, **__: self.logged.append(event)),
            result_store,
        )
        self.turn(ExecutorConnected(False, 0.0), actions=[interface.Health(True, True)])
        self.last_number = 0

    # the scheduler
    def clock(self):
        return self.now

    def spawn(self, function, *args, name=None):
        function(*args)

    def call_later(self, delay, function, *args):
        self.scheduled.append((delay, function, args))

    # settings, counters, registry, times
    def gauges(self, values):
        return interface.Gauges(*values)

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def set_serving(self, serving):
        self.serving_reports.append(serving)

    def add(self, name, seconds):
        pass

    # the executor
    def send(self, line):
        if self.connected and json.loads(line)["t"] != "METER":
            self.commands.append(json.loads(line))
        return self.connected

    def check(self):
        pass

    # the ledger
    def call(self, number, attempt, reference, timeout, body):
        self.calls.append((number, attempt, reference, body))

    def cancel(self, number):
        self.cancelled_calls.append(number)

    # the admission controller
    def decide(self, now, events):
        self.events += events
        actions, self.next_actions = self.next_actions, []
        return actions

    def turn(self, *messages, actions=()):
        """Run one turn in which the controller returns `actions`; return (type, id) of the new commands."""
        self.next_actions, before = list(actions), len(self.commands)
        taken, self.dispatcher.mailbox.items = list(self.dispatcher.mailbox.items), deque()
        self.dispatcher.turn(taken + list(messages))
        return [(command["t"], command.get("rid")) for command in self.commands[before:]]

    def fail_next_decision(self):
        """Let the controller raise in the next turn, and work again after it."""
        healthy = self.decide

        def fail(now, events):
            self.decide = healthy
            raise ZeroDivisionError

        self.decide = fail

    def arrive(self, workload, connection, actions=(), **changes):
        """Run a turn with a new submission; return its number and its call id.

        `actions` are functions of that number.
        """
        self.last_number += 1
        changes = {
            "call_id": f"{self.last_number:016x}",
            "stream": self.last_number,
            "arrived_at": time.time(),
            **changes,
        }
        base = frames.Submission(1, "", workload, "a", 0.0, 2.0, 0.1, 8.0, 0.5, 1, None, None, False, b"body")
        received = SubmissionReceived(connection, base._replace(**changes))
        self.turn(received, actions=[action(self.dispatcher.last_number + 1) for action in actions])
        return self.dispatcher.last_number, received.submission.call_id

    def report_gauges(self):
        """Report gauges requested now, which proves that all commands before have arrived."""
        self.dispatcher.executions.gauge_token += 1
        self.turn(
            executor_protocol.GaugesReported(str(self.dispatcher.executions.gauge_token), (0.1, 0, 0.1, 1))
        )


class Caller:
    """A gateway connection that keeps the answers sent on it: (stream, code, body)."""

    def __init__(self):
        self.answers, self.refused, self.invalid_reasons = [], None, []

    def reject_invalid(self, stream, reason):
        self.invalid_reasons.append(reason)
        self.reject(stream, None)

    def refuse_connection(self, reason):
        self.refused = reason

    def deliver(self, stream, load, result):
        self.answers.append((stream, frames.DELIVERED, result))

    def reject(self, stream, load, retry_after=0.0, final=False):
        self.answers.append((stream, frames.REJECTED, b""))
        self.retry_after = retry_after

    def fail(self, stream, load):
        self.answers.append((stream, frames.FAILED, b""))

    def send_health(self, stream, load, healthy):
        self.answers.append((stream, int(healthy), b""))
