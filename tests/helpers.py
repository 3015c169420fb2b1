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
    """A slow, plain model of what an admission controller may do.

    It keeps the state that the events and actions imply. `act` fails with AssertionError on an action that is
    not allowed in that state.
    """

    def __init__(self, controller, settings):
        self.controller, self.settings, self.now, self.submissions, self.timers, self.stored_keys = (
            controller,
            settings,
            0.0,
            {},
            [],
            {},
        )
        # Each of `submissions` is a dict. Its "state" is queued, running, awaiting_call, calling, suspended,
        # coalesced (waits for its original's result), abandoned (answered, still running) or finished.
        # "awaits_answer" is False once it has its answer or its caller is gone; "start_revocable" is True
        # while its first start may turn out not to have been recorded.
        self.drain_started_at = self.stop_at = None  # when a drain began, and when the process stops
        # All actions so far; (key, arrival time) of deduplicated executions.
        self.all_actions, self.executions = [], []
        self.calls = []  # [start, end] of calls; the time that cancelled ones linger at the dependency counts

    def batch(self, now, *events):
        """Apply the events to the model, have the controller decide, and check its actions."""
        self.now = now
        for event in events:
            if isinstance(event, interface.Arrived):
                workload = self.settings.workloads[event.workload]
                time_left = (
                    event.time_left if event.time_left is not None else workload.timeout - event.waited
                )
                self.submissions[event.id] = dict(
                    event=event,
                    workload=workload,
                    deadline=max(now, now + time_left),
                    arrived_at=now - event.waited,
                    state="queued",
                    has_started=False,
                    awaits_answer=True,
                    call_made=False,
                    call_not_executed=False,
                    start_revocable=False,
                )
            elif isinstance(event, interface.CallerGone):
                if self.submissions[event.id]["state"] == "calling":
                    self.end_call(self.submissions[event.id], self.settings.call_linger)
                self.submissions[event.id]["awaits_answer"] = False
                if self.submissions[event.id]["state"] in ("queued", "suspended", "coalesced"):
                    self.submissions[event.id]["state"] = "finished"
            elif isinstance(event, interface.Ended):
                self.submissions[event.id]["start_revocable"] &= event.outcome is interface.Outcome.UNSTORED
                self.end(self.submissions[event.id], event.outcome)
            elif isinstance(event, interface.CallRequested):
                self.submissions[event.id].update(state="awaiting_call", call_made=False)
            elif isinstance(event, interface.CallEnded):
                done = event.outcome is interface.Outcome.DONE
                proved = event.outcome in (
                    interface.Outcome.REFUSED,
                    interface.Outcome.UNREACHED,
                    interface.Outcome.MOOT,
                )
                self.submissions[event.id].update(
                    state="running" if done else "awaiting_call", call_not_executed=proved
                )
                self.end_call(
                    self.submissions[event.id], 0.0 if done or proved else self.settings.call_linger
                )
            elif isinstance(event, interface.DrainStarted):
                self.drain_started_at, self.stop_at = now, now + event.time_left
        self.timers = [timer for timer in self.timers if timer > now]
        actions = self.controller.decide(now, list(events))
        for action in actions:
            self.act(action)
        self.all_actions += actions
        self.check()
        return actions

    def end_call(self, record, linger):
        """End a call; the dependency works on it for `linger` seconds more at most."""
        call = self.calls[record["call_index"]]
        call[1] = min(call[1], self.now + linger)

    def end(self, record, outcome):
        """End an execution in the model."""
        if outcome is interface.Outcome.UNSTORED:  # it never began, so what the start recorded is undone
            self.executions.remove((record["event"].subject, record["arrived_at"]))
            record.update(
                state="queued" if record["awaits_answer"] else "finished",
                has_started=False,
                start_revocable=False,
            )
        elif outcome is interface.Outcome.CANCELLED and record["awaits_answer"]:
            record["state"] = (
                "suspended" if self.settings.interruption is interface.Interruption.SUSPEND else "queued"
            )
        else:
            record.update(state="finished", awaits_answer=False)

    def act(self, action):
        """Check an action against the model, and change the model by it."""
        if isinstance(action, interface.SetTimer):
            self.timers.append(self.now + action.delay)
        record = self.submissions.get(getattr(action, "id", None))
        assert record is not None or not hasattr(action, "id"), f"acts on an unknown id: {action}"
        if record is None or record["state"] == "finished":
            return
        workload = record["workload"]
        if isinstance(action, interface.Start):
            assert record["state"] in ("queued", "suspended") and record["awaits_answer"], action
            assert not (
                record["has_started"] and record["state"] == "queued" and workload.effect is not IDEMPOTENT
            ), "run twice"
            if self.drain_started_at is not None:
                assert record["arrived_at"] <= self.drain_started_at + self.settings.drain_grace, (
                    "run after the grace"
                )
            if workload.effect is DEDUPLICATED and not record["has_started"]:
                key = record["event"].subject
                assert all(
                    other_key != key or record["arrived_at"] - arrived_at > workload.deduplication_window
                    for other_key, arrived_at in self.executions
                ), "effect twice"
                assert (
                    self.stored_keys.get(key, (0,))[0] >= record["arrived_at"] + workload.deduplication_window
                ), "run without an entry"
                assert not record["event"].deduplication_ready_in, "run though its key can't be kept"
                self.executions.append((key, record["arrived_at"]))
                record["start_revocable"] = True
            record.update(state="running", has_started=True)
        elif isinstance(action, interface.Reject):
            assert record["awaits_answer"] and not (
                record["has_started"] and workload.effect is not IDEMPOTENT
            ), "rejected after it ran"
            if record["state"] == "coalesced":
                assert not self.submissions[record["event"].duplicate_of]["has_started"], (
                    "rejected a duplicate of one that has run"
                )
            record.update(
                awaits_answer=False,
                state="finished" if record["state"] in ("queued", "suspended", "coalesced") else "abandoned",
            )
        elif isinstance(action, interface.Fail):
            assert record["awaits_answer"], "second answer"
            if record["state"] == "calling":
                self.end_call(record, self.settings.call_linger)
            record.update(
                awaits_answer=False,
                state="finished" if record["state"] in ("queued", "suspended", "coalesced") else "abandoned",
            )
        elif isinstance(action, interface.Interrupt):
            assert self.settings.interruption is not interface.Interruption.UNSUPPORTED
        elif isinstance(action, interface.Call):
            assert record["state"] == "awaiting_call" and action.timeout > 0
            assert not record["call_made"] or record["call_not_executed"] or workload.effect is IDEMPOTENT, (
                "call repeated"
            )
            record.update(state="calling", call_made=True, call_index=len(self.calls))
            self.calls.append([self.now, self.now + action.timeout + self.settings.call_linger])
        elif isinstance(action, interface.BypassCall):
            assert record["state"] == "awaiting_call" and workload.degraded_value_share > 0
            record["state"] = "running"
        elif isinstance(action, interface.StoreKey) and workload.effect is DEDUPLICATED:
            self.stored_keys[record["event"].subject] = (self.now + action.lifetime, action.id)
        elif isinstance(action, interface.Forget):
            if self.stored_keys.get(record["event"].subject, (0, 0))[1] == action.id:
                assert not record["has_started"], "forgot the key of one that has run"
                del self.stored_keys[record["event"].subject]
        elif isinstance(action, interface.AnswerFromOriginal):
            assert record["event"].duplicate_of is not None
            record["state"] = "coalesced"

    def first_try(self, key, arrived_at):
        """Return the id of the submission that a new one with this key duplicates, or None."""
        valid_until, first = self.stored_keys.get(key, (0.0, None))
        return first if valid_until > arrived_at else None

    def check(self):
        """Check what has to hold after each batch: deadlines, memory, concurrency and calls."""
        alive = [record for record in self.submissions.values() if record["state"] != "finished"]
        for record in alive:
            assert (
                not record["awaits_answer"] or self.now <= record["deadline"] + self.settings.answer_slack
            ), "answer overdue"
            assert not record["awaits_answer"] or self.stop_at is None or self.now < self.stop_at, (
                "unanswered at the stop"
            )
        memory = sum(until > self.now for until, _ in self.stored_keys.values()) * self.settings.key_memory
        for record in alive:
            memory_factor = (
                1.0 if record["state"] in ("queued", "coalesced") else self.settings.run_memory_factor
            )
            memory += record["event"].memory * memory_factor
        assert memory <= self.settings.memory, "out of memory"
        speed = 1.0
        if self.settings.starts_cold:
            speed = min(
                1.0,
                self.settings.cold_start_speed
                + (1 - self.settings.cold_start_speed) * self.now / self.settings.warm_up_time,
            )
        running = sum(record["state"] in ("running", "abandoned") for record in alive)
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
        self.tenants, self.passes_time_left = (
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
        self.answers, self.refused, self.invalid_reasons, self.has_left = [], None, [], False

    def awaits(self, stream):
        return not self.has_left

    def reject_invalid(self, stream, reason):
        self.invalid_reasons.append(reason)
        self.reject(stream, None)

    def reject_connection(self, reason):
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
