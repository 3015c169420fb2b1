"""Owns the admission controller: gathers all that is due, has it decide once, and carries its actions out.

Nothing is decided here. This module holds the loop, incoming messages, answers and health. Beside it
`executions` holds what was sent to the executor and what of that is in doubt, and `deduplication` holds which
submission duplicates which, and the result store; both act in the dispatcher's turns only.
"""

from __future__ import annotations

import heapq
import time
from typing import NamedTuple

from ..admission import interface
from ..protocol import executor as executor_protocol
from ..transport.scheduler import Mailbox
from . import messages
from .deduplication import Deduplication
from .executed_ids import IDS_PER_REQUEST, ExecutedIds
from .executions import Executions
from .pending_request import IN_DOUBT, NOT_RUNNING, UNSENT, PendingRequest

# Seconds before a timer at which its gauges are requested: a report takes 0.3 ms, 1 ms at most.
GAUGES_LEAD_S = 0.005
GAUGES_MAX_AGE_S = 0.3  # seconds that gauges count as current: three reports, so that one may be late
HEALTH_CHECK_TIMEOUT_S = 1.0  # seconds for a deep check: a server that takes longer is not healthy either
# Deep checks at once: as many as a large fleet's gateways send in one second. Past it the state that the
# controller set answers.
MAX_HEALTH_CHECKS = 64
# Seconds, at least, for which the id of a submission that may have run is kept after its end.
MIN_ID_LIFETIME_S = 60.0

# The method of a gateway connection that sends an answer, by the name that the answer is counted under.
ANSWERS = {
    "delivered": "deliver",
    "turned_back": "reject",
    "written_off": "fail",
    "unasked_end": "fail",
}


class Collaborators(NamedTuple):
    """The clients and servers by which the dispatcher communicates."""

    executor: object
    ledger: object
    gateways: object
    registry: object


class Instrumentation(NamedTuple):
    """Where the dispatcher reports: count(name), times.add(name, seconds), log(event, fields)."""

    count: object
    times: object
    log: object


class Dispatcher:
    """Runs the admission controller in turns and carries out what it decides.

    In a turn it takes all waiting messages, fires the timers that are due, hands all events to the controller
    at once and carries out the actions that it returns. Times are seconds of the scheduler's clock.
    """

    def __init__(
        self,
        scheduler,
        decoded_settings,
        limits,
        pacing,
        make_controller,
        collaborators,
        instrumentation,
        result_store=None,
        degradation=None,
        call_quota=None,
    ):
        """Connect the parts; the controller is made when the executor has connected.

        Args:
            scheduler: Clock, tasks and timers.
            decoded_settings: The settings and the names that the wire uses for workloads, tenants and gauges.
            limits: Bounds on submissions, queued messages and the memory for results.
            pacing: A `TurnPacing`, which says how long to wait between turns.
            make_controller: (executor cold, its age in seconds) -> a new admission controller.
            collaborators: The executor, the ledger, the gateways and the registry.
            instrumentation: Where to count and log.
            result_store: The result store on disk, or None.
            degradation: A `DegradationMonitor`, or None.
            call_quota: A `CallQuotaMonitor`, or None.
        """
        self.scheduler, self.pacing, self.make_controller = scheduler, pacing, make_controller
        self.decoded_settings, self.settings = decoded_settings, decoded_settings.settings
        self.executor, self.ledger, self.gateways, self.registry = collaborators
        self.count, self.times, self.log = instrumentation
        self.max_pending, self.mailbox = limits.submissions, Mailbox(scheduler, limits.messages)
        # Without a controller all submissions are rejected. Submissions are numbered from 1.
        self.controller, self.last_number = None, 0
        # Pending submissions by number, by call id, and by (connection, stream) until they are answered.
        self.pending, self.by_call_id, self.by_stream = {}, {}, {}
        # A heap of (time, timer); the time of the timer that gauges were requested for last.
        self.timers, self.gauges_requested_for = [], 0.0
        self.executions, self.deduplication = (
            Executions(self),
            Deduplication(self, limits.results, result_store),
        )
        longest_timeout = max(workload.timeout for workload in self.settings.workloads)
        self.executed_ids = ExecutedIds(
            IDS_PER_REQUEST * limits.submissions, max(MIN_ID_LIFETIME_S, longest_timeout)
        )
        # Health as the controller sets it, and whether deep checks are answered like shallow ones; the load
        # value sent with answers; deep checks under way: token -> (connection, stream).
        self.healthy, self.shallow, self.advertised_load, self.health_checks = False, True, None, {}
        self.started_cold, self.warm_since, self.stopped = False, 0.0, False
        # (when, DrainStarted) once a drain was requested; events of this turn; logs each answer, if set.
        self.drain, self.events, self.trace, self.degradation = None, [], None, degradation
        self.call_quota = call_quota
        self.message_handlers, self.action_handlers = self.handler_tables()

    def unanswered_count(self):
        """Return how many pending submissions have no answer yet."""
        return sum(not pending.answered for pending in self.pending.values())

    def call_count(self):
        """Return how many submissions have a call under way, or wait for permission to make one."""
        return sum(pending.call_request is not None for pending in self.pending.values())

    def gauges(self):
        """Return counts of pending submissions by state, the age of the gauges in seconds, and health."""
        pending_requests = self.pending.values()
        return {
            "open": len(pending_requests),
            "owed": self.unanswered_count(),
            "running": sum(pending.state not in UNSENT for pending in pending_requests),
            "in_doubt": sum(pending.state == IN_DOUBT for pending in pending_requests),
            "at_calls": self.call_count(),
            "gauges_age_s": self.scheduler.clock() - self.executions.gauges_at,
            "good": int(self.healthy),
        }

    # ---- the loop

    def put(self, message):
        """Put a message into the queue; waits while the queue is full."""
        self.mailbox.put(message)

    def push(self, message):
        """Put a message into the queue at once: the end of a connection, of which each open one has one."""
        self.mailbox.push(message)

    def run(self):
        """Run turns for ever, as a task."""
        while True:
            self.turn(self.mailbox.take_all(self.next_timeout()))
            pause_s = self.pacing.pause_s()
            if pause_s:
                self.count("core.paced")
                self.scheduler.sleep(pause_s)

    def next_timeout(self):
        """Return the seconds until a timer is due or its gauges are to be requested; None without timers."""
        if not self.timers or self.controller is None:
            return None
        when = self.timers[0][0]
        return max(
            0.0,
            (when if self.gauges_requested_for >= when else when - GAUGES_LEAD_S) - self.scheduler.clock(),
        )

    def turn(self, received):
        """Run one turn; after a fault of its own, restart with a new controller."""
        now = self.scheduler.clock()
        try:
            self.process(now, received)
        except Exception as error:  # events of this turn may be lost: the controller restarts
            self.controller_failed(now, error)

    def process(self, now, received):
        """Handle the messages and timers of a turn, and have the controller decide."""
        self.events = []
        for message in received:
            self.handle(self.message_handlers, now, message)
        self.fire_timers(now)
        if self.call_quota is not None:
            self.events[:0] = self.call_quota.pending_events()
        self.decide(now)
        self.deduplication.end_turn()

    def decide(self, now):
        """Hand the events to the controller and carry out its actions."""
        if self.controller is None or not self.events:
            return
        self.count("core.turns")
        try:
            actions = self.controller.decide(now, self.events)
            self.times.add("decide", self.scheduler.clock() - now)
        except Exception as error:
            self.controller_failed(now, error)
            return
        for action in actions:
            self.handle(self.action_handlers, now, action)

    def handle(self, handlers, now, item):
        """Handle one message or action; a fault with it is logged, and the others are still handled."""
        try:
            handlers[type(item)](now, item)
        except Exception as error:
            self.count("errors.core")
            self.log("core_fault", {"item": type(item).__name__}, fault=error)
            if isinstance(item, messages.SubmissionReceived):
                self.submission_failed(item.connection, item.submission.stream)

    def submission_failed(self, connection, stream):
        """Reject a submission whose handling failed; it never ran.

        One that was accepted half way is removed too, or it would be answered a second time.
        """
        pending = self.by_stream.get((connection, stream))
        if pending is None:
            connection.reject(stream, self.advertised_load)
        else:
            self.events.append(interface.CallerGone(pending.number))
            self.answer(pending, "turned_back")
            self.remove(pending)

    def fire_timers(self, now):
        """Request gauges for the next timer, and add an event for each timer that is due."""
        if self.timers and self.gauges_requested_for < self.timers[0][0] <= now + GAUGES_LEAD_S:
            self.gauges_requested_for = self.timers[0][0]
            self.executions.request_gauges(now)
        due = {}
        while self.timers and self.timers[0][0] <= now:
            when, timer = heapq.heappop(self.timers)
            due.setdefault(timer, when)  # after a pause a timer that is due several times fires once
        if due:
            self.times.add("wake_late", now - min(due.values()))
        for timer in due:
            fresh = now - self.executions.gauges_at <= GAUGES_MAX_AGE_S
            self.events.append(
                interface.TimerFired(
                    timer, self.decoded_settings.gauges(self.executions.gauges if fresh else ())
                )
            )
        if due and self.degradation is not None:
            self.degradation.record_gauges(
                now, self.decoded_settings.gauges(self.executions.gauges)
            ) if fresh else None
            self.events += self.degradation.update(now, self.is_warming_up(now))
        if due:
            self.deduplication.expire(now)
            self.executed_ids.expire(now)
            self.executor.check()

    def is_warming_up(self, now):
        """Return whether the server warms up: its own cores are busy then, whatever the load."""
        return self.started_cold and now - self.warm_since < self.settings.warm_up_time

    def controller_failed(self, now, error):
        """Answer all that is pending as truthfully as is known, and continue with a new controller."""
        self.log("module_failed", fault=error)
        self.count("core.module_failed")
        self.answer_all()
        self.controller, self.healthy = None, False
        try:
            self.start_controller(now, False, 0.0)
        except Exception as again:  # without a controller all is rejected and the server is not healthy
            self.log("module_failed", fault=again)

    def answer_all(self):
        """Give each unanswered submission its one final answer, as truthfully as is known, and remove all."""
        for pending in list(self.pending.values()):
            if (
                not pending.may_have_run
                and pending.workload_settings.effect is not interface.Effect.DEDUPLICATED
            ):
                self.answer(pending, "turned_back")
            else:
                self.answer(pending, "written_off")
            self.ledger.cancel(pending.number)
            if (
                pending.state not in UNSENT
                and self.settings.interruption is not interface.Interruption.UNSUPPORTED
            ):
                self.executor.send(executor_protocol.interrupt(pending.call_id))
            self.remove(pending)

    def on_stop_requested(self, now, message):
        """Answer what is still pending, as the process ends in a moment, and accept nothing from here on.

        The controller has answered all by now, unless the time from the notice to the stop is shorter than
        the time between its timers.
        """
        if self.unanswered_count():
            self.count("core.settled_at_stop", self.unanswered_count())
        self.answer_all()
        self.controller, self.healthy, self.timers, self.stopped = None, False, [], True

    def start_controller(self, now, cold, age):
        """Create a controller and pass it the level, the call quota and a drain that was requested.

        The drain is passed with the time of its request, from which its grace period counts.

        Args:
            now: The time of the turn.
            cold: Whether the executor was started cold.
            age: Seconds since the executor started.
        """
        when, drain_started = self.drain if self.drain is not None else (now, None)
        controller, self.timers = self.make_controller(cold, age), []
        self.started_cold, self.warm_since = cold or self.settings.starts_cold, now - age
        events = [] if self.degradation is None else [self.degradation.current_event()]
        events += [] if self.call_quota is None else [self.call_quota.current_event()]
        actions = controller.decide(when, events + ([] if drain_started is None else [drain_started]))
        self.controller = controller
        for action in actions:
            self.handle(self.action_handlers, now, action)

    # ---- messages

    def on_executor_connected(self, now, message):
        """Start the controller if there is none, unless the server has stopped."""
        self.count("executor.joined")
        self.executions.connection_count += 1
        if self.controller is None and not self.stopped:
            self.log(
                "welcome",
                {"cold": message.cold, "age": message.age, "told_cold": self.settings.starts_cold},
            )
            self.start_controller(now, message.cold, message.age)

    def on_submission_received(self, now, message):
        """Register a submission as pending and pass it to the controller, or answer it at once."""
        submission, connection = message.submission, message.connection
        if not connection.awaits(submission.stream):  # cancelled, or its connection has ended
            self.count("in.callers_gone")
            return
        if self.controller is None or len(self.pending) >= self.max_pending:
            self.count("in.too_early" if self.controller is None else "in.over_all")
            connection.reject(submission.stream, self.advertised_load)
            return
        if submission.call_id in self.by_call_id:
            # A submission has one answer, which goes to the caller that sent it first.
            self.count("in.again")
            connection.fail(submission.stream, self.advertised_load)
            return
        workload = self.decoded_settings.workloads[submission.workload]
        workload_settings = self.settings.workloads[workload]
        key = self.deduplication.key_of(submission, workload, workload_settings)
        if key is None and self.executed_ids.contains(submission.call_id):
            self.count("in.executed_before")
            connection.fail(submission.stream, self.advertised_load)
            return
        self.last_number += 1
        number = self.last_number
        waited = max(0.0, time.time() - submission.arrived_at)
        pending = PendingRequest(
            now,
            number,
            connection,
            submission.stream,
            submission.call_id,
            submission.workload,
            workload_settings,
            submission.body,
            key,
            submission.cost_hint,
            submission.tenant,
        )
        if self.deduplication.key_reused(now, pending, waited):
            connection.reject_invalid(submission.stream, "mark_reused")
            return
        pending.duplicate_of, ready_in = self.deduplication.find_original(now, pending, waited)
        self.pending[number] = self.by_call_id[submission.call_id] = self.by_stream[
            connection, submission.stream
        ] = pending
        time_left = (
            None
            if submission.timeout is None or not self.decoded_settings.passes_time_left
            else max(0.0, submission.timeout - waited)
        )
        if self.degradation is not None:
            self.degradation.signals.record_request(now, waited)
        self.events.append(
            interface.Arrived(
                id=number,
                workload=workload,
                tenant=self.decoded_settings.tenants.get(submission.tenant),
                waited=waited,
                rank=submission.rank,
                is_retry=submission.is_retry,
                subject=submission.subject,
                caller=submission.caller,
                memory=submission.memory,
                time_left=time_left,
                duplicate_of=pending.duplicate_of,
                cost_hint=submission.cost_hint,
                deduplication_ready_in=ready_in,
            )
        )

    def on_submission_cancelled(self, now, message):
        """Note that the caller of one submission no longer waits."""
        self.caller_disconnected(message.connection, message.stream)

    def on_connection_closed(self, now, message):
        """Note that no caller on a connection waits any longer."""
        for stream in message.streams:
            self.caller_disconnected(message.connection, stream)

    def caller_disconnected(self, connection, stream):
        """Notify the controller that a caller no longer waits; no answer is needed."""
        pending = self.by_stream.get((connection, stream))
        if pending is not None and not pending.answered:
            self.count("out.callers_gone")
            self.forget_caller(pending)
            self.events.append(interface.CallerGone(pending.number))
            if pending.state == NOT_RUNNING:
                # Submissions that are coalesced with it would wait for ever for its end.
                self.deduplication.end_coalesced(pending, None)
                self.remove(pending)

    def on_health_check_requested(self, now, message):
        """Answer a health check; for a deep one, ask the executor first if the controller allows it."""
        full = len(self.health_checks) >= MAX_HEALTH_CHECKS
        if self.shallow or not message.deep or self.controller is None or not self.healthy or full:
            self.answer_health_check(message.connection, message.stream, self.healthy)
            return
        self.executions.gauge_token += 1
        token = f"check{self.executions.gauge_token}"
        self.health_checks[token] = (message.connection, message.stream)
        if not self.executor.send(executor_protocol.diagnose(token)):
            self.finish_health_check(token, False)
        self.scheduler.call_later(HEALTH_CHECK_TIMEOUT_S, self.finish_health_check, token, False)

    def on_diagnosis_reported(self, now, message):
        """Answer a deep check by what the executor reports."""
        self.finish_health_check(message.token, message.healthy)

    def finish_health_check(self, token, healthy):
        """Answer a deep check, unless it is answered."""
        connection, stream = self.health_checks.pop(token, (None, None))
        if connection is not None:
            self.answer_health_check(connection, stream, healthy and self.healthy)

    def answer_health_check(self, connection, stream, healthy):
        """Send the answer to a health check."""
        self.count("out.checks_good" if healthy else "out.checks_bad")
        connection.send_health(stream, self.advertised_load, healthy)

    def put_later(self, message):
        """Put a message into the queue from a turn, which must not wait itself: it is for the next turn."""
        self.scheduler.spawn(self.put, message, name="later")

    def on_deferred_event(self, now, message):
        """Pass an event from an earlier turn on to the controller."""
        self.events.append(message.event)

    def on_drain_requested(self, now, message):
        """Report to the registry that the server no longer serves, and pass the stop to the controller."""
        self.drain = now, interface.DrainStarted(message.time_left)
        self.registry.set_serving(False)
        self.events.append(self.drain[1])

    # ---- answers

    def answer(self, pending, kind, *details):
        """Send a submission its one final answer, unless its caller has one or has gone.

        Args:
            pending: The submission.
            kind: A key of ANSWERS.
            *details: What that method of the connection takes beside the stream and the load.
        """
        if not pending.answered:
            self.count("out." + kind)
            if kind == "turned_back" and self.degradation is not None:
                self.degradation.signals.record_rejection(self.scheduler.clock())
            getattr(pending.connection, ANSWERS[kind])(pending.stream, self.advertised_load, *details)
            if self.trace is not None:
                self.trace(
                    "answered",
                    {
                        "call": pending.call_id,
                        "workload": pending.workload,
                        "kind": kind,
                        "after": self.scheduler.clock() - pending.received_at,
                    },
                )
            self.forget_caller(pending)

    def forget_caller(self, pending):
        """Note that a submission needs no answer any more."""
        pending.answered = True
        self.by_stream.pop((pending.connection, pending.stream), None)

    def remove(self, pending):
        """Remove a submission from the tables; its call id may come again."""
        if self.pending.pop(pending.number, None) is not None:
            self.deduplication.release(pending)
            repeatable = pending.workload_settings.effect is interface.Effect.IDEMPOTENT
            if pending.may_have_run and not repeatable and pending.key is None:
                self.executed_ids.add(self.scheduler.clock(), pending.call_id)
        self.by_call_id.pop(pending.call_id, None)
        self.by_stream.pop((pending.connection, pending.stream), None)

    # ---- actions of the admission controller

    def apply_reject(self, now, action):
        """Reject a submission."""
        pending = self.pending.get(action.id)
        if pending is not None:
            self.answer(pending, "turned_back", action.retry_after, action.final)
            self.remove_unless_running(pending)

    def apply_fail(self, now, action):
        """Answer a submission as failed, and cancel its call."""
        pending = self.pending.get(action.id)
        if pending is not None:
            self.answer(pending, "written_off")
            if pending.call_request is not None:
                self.ledger.cancel(pending.number)
            self.remove_unless_running(pending)

    def remove_unless_running(self, pending):
        """Remove a submission, with the duplicates that wait for it, unless it is being executed."""
        if pending.state == NOT_RUNNING:
            self.deduplication.end_coalesced(pending, None)
            self.remove(pending)

    def apply_health(self, now, action):
        """Set the answer to health checks and report it to the registry."""
        self.healthy, self.shallow = action.healthy, action.shallow
        self.registry.set_serving(action.healthy)

    def apply_advertise_load(self, now, action):
        """Set the load value that is sent with each answer."""
        self.advertised_load = action.value

    def apply_close_idle_connections(self, now, action):
        """Set after how many seconds without use a gateway connection is closed."""
        self.gateways.idle_timeout = action.idle_time

    def apply_set_timer(self, now, action):
        """Set a timer."""
        heapq.heappush(self.timers, (now + action.delay, action.timer))

    def apply_trace(self, now, action):
        """Log a text of the controller."""
        self.log("note", {"text": action.text})

    def handler_tables(self):
        """Return the handlers of messages, and those of actions, by type."""
        executions, deduplication = self.executions, self.deduplication
        message_handlers = {
            messages.ExecutorConnected: self.on_executor_connected,
            messages.ExecutorDisconnected: executions.on_executor_disconnected,
            messages.NoticesLost: executions.on_notices_lost,
            messages.InDoubtCheckDue: executions.on_in_doubt_check_due,
            messages.SubmissionReceived: self.on_submission_received,
            messages.SubmissionCancelled: self.on_submission_cancelled,
            messages.ConnectionClosed: self.on_connection_closed,
            messages.HealthCheckRequested: self.on_health_check_requested,
            messages.CallFinished: executions.on_call_finished,
            messages.DeferredEvent: self.on_deferred_event,
            messages.DrainRequested: self.on_drain_requested,
            messages.StopRequested: self.on_stop_requested,
            messages.StoreProgressed: deduplication.on_store_progressed,
            executor_protocol.RunEnded: executions.on_run_ended,
            executor_protocol.CallRequest: executions.on_call_requested,
            executor_protocol.GaugesReported: executions.on_gauges_reported,
            executor_protocol.DiagnosisReported: self.on_diagnosis_reported,
            executor_protocol.CommandRejected: executions.on_command_rejected,
        }
        action_handlers = {
            interface.Start: executions.apply_start,
            interface.Interrupt: executions.apply_interrupt,
            interface.Reject: self.apply_reject,
            interface.Fail: self.apply_fail,
            interface.Call: executions.apply_call,
            interface.BypassCall: executions.apply_bypass_call,
            interface.StoreKey: deduplication.apply_store_key,
            interface.Forget: deduplication.apply_forget,
            interface.AnswerFromOriginal: deduplication.apply_answer_from_original,
            interface.Health: self.apply_health,
            interface.AdvertiseLoad: self.apply_advertise_load,
            interface.CloseIdleConnections: self.apply_close_idle_connections,
            interface.SetTimer: self.apply_set_timer,
            interface.Trace: self.apply_trace,
        }
        return message_handlers, action_handlers
