"""Owns the module: takes all that is due, has it decide once, carries its actions out in order.

Decides nothing. Here: the turn, what arrives, answers, health. Beside it `runs` (what was sent to the
executor and what of that is in doubt) and `repeating` (who repeats whom, and the store); both act in the
owner's turns alone.
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
from .executions import Executions
from .pending_request import DOUBTED, IDLE, UNSENT, PendingRequest

GAUGES_AHEAD = 0.005  # s before a wake-up that its gauges are asked for: the answer took 0.3 ms, 1 at most
GAUGES_LAST = 0.3  # s that gauges count as the moment's: three sweeps, so that one late answer is bridged
CHECK_PATIENCE = 1.0  # s for a deep check: what takes longer is no good server either
CHECKS = 64  # deep checks out at once: a large fleet's gateways in one second; past it the setting answers

# What a front's connection is asked for, by the name that an answer is counted under.
ANSWERS = {
    "delivered": "deliver",
    "turned_back": "turn_back",
    "written_off": "write_off",
    "unasked_end": "write_off",
}


class Collaborators(NamedTuple):
    """Whom the owner speaks with."""

    link: object  # the executor's
    ledger: object
    gateways: object
    reporter: object


class Instrumentation(NamedTuple):
    """Where it tells what happens: count(name), times.add(name, seconds), log(event, fields)."""

    count: object
    times: object
    log: object


class Dispatcher:
    def __init__(
        self,
        scheduler,
        names,
        bounds,
        pacing,
        make_controller,
        parties,
        telling,
        kept=None,
        reducing=None,
        sharing=None,
    ):
        self.scheduler, self.pacing, self.make_controller = scheduler, pacing, make_controller
        self.names, self.settings = names, names.settings
        self.link, self.ledger, self.gateways, self.reporter = parties
        self.count, self.times, self.log = telling
        self.most_open, self.mailbox = bounds.submissions, Mailbox(scheduler, bounds.messages)
        self.controller, self.numbers = None, 0
        self.pending, self.by_call, self.by_stream = {}, {}, {}
        self.wakes, self.asked = [], 0.0
        self.executions, self.repeating = Executions(self), Deduplication(self, bounds.results, kept)
        self.healthy, self.shallow, self.load, self.checks = False, True, None, {}
        self.started_cold, self.warm_since, self.stopped = False, 0.0, False
        self.leave, self.events, self.trace, self.reducing = None, [], None, reducing
        self.sharing = sharing
        self.takes, self.does = self.tables()

    def unanswered_count(self):
        return sum(not sub.answered for sub in self.pending.values())

    def call_count(self):
        """Submissions that have a call out, or wait to have one."""
        return sum(sub.notice is not None for sub in self.pending.values())

    def gauges(self):
        """How many submissions are open, owed and running, and how old the gauges are."""
        subs = self.pending.values()
        return {
            "open": len(subs),
            "owed": self.unanswered_count(),
            "running": sum(sub.run not in UNSENT for sub in subs),
            "in_doubt": sum(sub.run == DOUBTED for sub in subs),
            "at_calls": self.call_count(),
            "gauges_age_s": self.scheduler.clock() - self.executions.gauged_at,
            "good": int(self.healthy),
        }

    # ---- the loop

    def put(self, message):
        self.mailbox.put(message)

    def run(self):
        while True:
            self.turn(self.mailbox.take_all(self.next_due()))
            gap = self.pacing.gap()
            if gap:
                self.count("core.paced")
                self.scheduler.sleep(gap)

    def next_due(self):
        if not self.wakes or self.controller is None:
            return None
        when = self.wakes[0][0]
        return max(0.0, (when if self.asked >= when else when - GAUGES_AHEAD) - self.scheduler.clock())

    def turn(self, taken):
        now = self.scheduler.clock()
        try:
            self.take(now, taken)
        except Exception as error:  # what was heard in it may never reach the module: that begins anew
            self.module_failed(now, error)

    def take(self, now, taken):
        self.events = []
        for message in taken:
            self.carry(self.takes, now, message)
        self.meet_wakes(now)
        if self.sharing is not None:
            self.events[:0] = self.sharing.events()
        self.decide(now)
        self.repeating.turn_ends()

    def decide(self, now):
        if self.controller is None or not self.events:
            return
        self.count("core.turns")
        try:
            actions = self.controller.decide(now, self.events)
            self.times.add("decide", self.scheduler.clock() - now)
        except Exception as error:
            self.module_failed(now, error)
            return
        for action in actions:
            self.carry(self.does, now, action)

    def carry(self, table, now, item):
        """A fault with one message or action is told and ends there; the others are carried out."""
        try:
            table[type(item)](now, item)
        except Exception as error:
            self.count("errors.core")
            self.log("core_fault", {"item": type(item).__name__}, fault=error)
            if isinstance(item, messages.SubmissionReceived):
                self.arrival_failed(item.connection, item.submission.stream)

    def arrival_failed(self, connection, stream):
        """It never ran; one that was let in half way is not left behind, to be answered again."""
        sub = self.by_stream.get((connection, stream))
        if sub is None:
            connection.turn_back(stream, self.load)
        else:
            self.events.append(interface.CallerGone(sub.number))
            self.answer(sub, "turned_back")
            self.drop(sub)

    def meet_wakes(self, now):
        if self.wakes and self.asked < self.wakes[0][0] <= now + GAUGES_AHEAD:
            self.asked = self.wakes[0][0]
            self.executions.ask_gauges(now)
        due = {}
        while self.wakes and self.wakes[0][0] <= now:
            when, mark = heapq.heappop(self.wakes)
            due.setdefault(mark, when)  # after a pause one wake-up of a mark stands for all
        if due:
            self.times.add("wake_late", now - min(due.values()))
        for mark in due:
            fresh = now - self.executions.gauged_at <= GAUGES_LAST
            self.events.append(
                interface.TimerFired(mark, self.names.gauges(self.executions.gauges if fresh else ()))
            )
        if due and self.reducing is not None:
            self.reducing.gauged(now, self.names.gauges(self.executions.gauges)) if fresh else None
            self.events += self.reducing.sweep(now, self.is_cold(now))
        if due:
            self.repeating.expire(now)
            self.link.check()

    def is_cold(self, now):
        """While it warms up a server's own cores tell of nothing but that."""
        return self.started_cold and now - self.warm_since < self.settings.warm_up_time

    def module_failed(self, now, error):
        """Answers what is owed as truthfully as is known, and goes on with a module that knows nothing."""
        self.log("module_failed", fault=error)
        self.count("core.module_failed")
        self.settle_all()
        self.controller, self.healthy = None, False
        try:
            self.start_module(now, False, 0.0)
        except Exception as again:  # without a module all is turned back and health is not good
            self.log("module_failed", fault=again)

    def settle_all(self):
        """The one final answer for each that is owed one, as truthful as is known."""
        for sub in list(self.pending.values()):
            if not sub.ran and sub.w.effect is not interface.Effect.DEDUPLICATED:
                self.answer(sub, "turned_back")
            else:
                self.answer(sub, "written_off")
            self.ledger.give_up(sub.number)
            if sub.run not in UNSENT and self.settings.interruption is not interface.Interruption.UNSUPPORTED:
                self.link.send(executor_protocol.interrupt(sub.call))
            self.drop(sub)

    def on_stopping(self, now, m):
        """The process ends in a moment. The module has answered all by now, unless the time from the notice
        to the stop is shorter than it looks around; from here on nothing is let in."""
        if self.unanswered_count():
            self.count("core.settled_at_stop", self.unanswered_count())
        self.settle_all()
        self.controller, self.healthy, self.wakes, self.stopped = None, False, [], True

    def start_module(self, now, cold, age):
        """A notice to leave that came before is told as of then: the grace counts from the notice."""
        when, notice = self.leave if self.leave is not None else (now, None)
        rules, self.wakes = self.make_controller(cold, age), []
        self.started_cold, self.warm_since = cold or self.settings.starts_cold, now - age
        told = [] if self.reducing is None else [self.reducing.current_event()]
        told += [] if self.sharing is None else [self.sharing.event()]
        actions = rules.decide(when, told + ([] if notice is None else [notice]))
        self.controller = rules
        for action in actions:
            self.carry(self.does, now, action)

    # ---- what comes in

    def on_link_up(self, now, m):
        self.count("executor.joined")
        self.executions.links += 1
        if self.controller is None and not self.stopped:
            self.log("welcome", {"cold": m.cold, "age": m.age, "told_cold": self.settings.starts_cold})
            self.start_module(now, m.cold, m.age)

    def on_arrival(self, now, m):
        s, connection = m.submission, m.connection
        if self.controller is None or len(self.pending) >= self.most_open:
            self.count("in.too_early" if self.controller is None else "in.over_all")
            connection.turn_back(s.stream, self.load)
            return
        if s.call_id in self.by_call:  # one submission has one answer, which is its first caller's alone
            self.count("in.again")
            connection.write_off(s.stream, self.load)
            return
        self.numbers += 1
        number, workload = self.numbers, self.names.workloads[s.workload]
        w = self.settings.workloads[workload]
        waited = max(0.0, time.time() - s.arrived_at)
        key = self.repeating.key_of(s, workload, w)
        sub = PendingRequest(
            now, number, connection, s.stream, s.call_id, s.workload, w, s.body, key, s.cost_hint, s.tenant
        )
        if self.repeating.mark_reused(now, sub, waited):
            connection.refuse(s.stream, "mark_reused")
            return
        sub.repeats, room_in = self.repeating.newcomer(now, sub, waited)
        self.pending[number] = self.by_call[s.call_id] = self.by_stream[connection, s.stream] = sub
        left = None if s.timeout is None or not self.names.passes_wait else max(0.0, s.timeout - waited)
        if self.reducing is not None:
            self.reducing.signals.record_request(now, waited)
        self.events.append(
            interface.Arrived(
                id=number,
                workload=workload,
                tenant=self.names.tenants.get(s.tenant),
                waited=waited,
                rank=s.rank,
                is_retry=s.is_retry,
                subject=s.subject,
                caller=s.caller,
                memory=s.memory,
                time_left=left,
                duplicate_of=sub.repeats,
                cost_hint=s.cost_hint,
                deduplication_ready_in=room_in,
            )
        )

    def on_withdrawal(self, now, m):
        self.gone(m.connection, m.stream)

    def on_connection_ended(self, now, m):
        for stream in m.streams:
            self.gone(m.connection, stream)

    def gone(self, connection, stream):
        """The caller left: nothing is owed, and the module hears it."""
        sub = self.by_stream.get((connection, stream))
        if sub is not None and not sub.answered:
            self.count("out.callers_gone")
            self.forget_caller(sub)
            self.events.append(interface.CallerGone(sub.number))
            if sub.run == IDLE:
                self.repeating.end_joiners(sub, None)  # what waits for its end would wait for ever
                self.drop(sub)

    def on_check(self, now, m):
        full = len(self.checks) >= CHECKS
        if self.shallow or not m.deep or self.controller is None or not self.healthy or full:
            self.answer_check(m.connection, m.stream, self.healthy)
            return
        self.executions.mark += 1
        mark = f"check{self.executions.mark}"
        self.checks[mark] = (m.connection, m.stream)
        if not self.link.send(executor_protocol.diagnose(mark)):
            self.check_over(mark, False)
        self.scheduler.call_later(CHECK_PATIENCE, self.check_over, mark, False)

    def on_diagnosed(self, now, m):
        self.check_over(m.token, m.healthy)

    def check_over(self, mark, good):
        connection, stream = self.checks.pop(mark, (None, None))
        if connection is not None:
            self.answer_check(connection, stream, good and self.healthy)

    def answer_check(self, connection, stream, good):
        self.count("out.checks_good" if good else "out.checks_bad")
        connection.tell_health(stream, self.load, good)

    def put_later(self, message):
        """For what a turn tells the module in the next one."""
        self.scheduler.spawn(self.put, message, name="later")

    def on_told(self, now, m):
        self.events.append(m.event)

    def on_leaving(self, now, m):
        self.leave = now, interface.DrainStarted(m.time_left)
        self.reporter.tell(False)
        self.events.append(self.leave[1])

    # ---- answers

    def answer(self, sub, kind, *what):
        """The one final answer, unless its caller has one or has gone."""
        if not sub.answered:
            self.count("out." + kind)
            if kind == "turned_back" and self.reducing is not None:
                self.reducing.signals.record_rejection(self.scheduler.clock())
            getattr(sub.connection, ANSWERS[kind])(sub.stream, self.load, *what)
            if self.trace is not None:
                self.trace(
                    "answered",
                    {
                        "call": sub.call,
                        "workload": sub.workload,
                        "kind": kind,
                        "after": self.scheduler.clock() - sub.since,
                    },
                )
            self.forget_caller(sub)

    def forget_caller(self, sub):
        sub.answered = True
        self.by_stream.pop((sub.connection, sub.stream), None)

    def drop(self, sub):
        if self.pending.pop(sub.number, None) is not None:
            self.repeating.dropped(sub)
        self.by_call.pop(sub.call, None)
        self.by_stream.pop((sub.connection, sub.stream), None)

    # ---- what the module asks for

    def do_turn_back(self, now, a):
        sub = self.pending.get(a.id)
        if sub is not None:
            self.answer(sub, "turned_back", a.retry_after, a.final)
            self.over_unless_running(sub)

    def do_write_off(self, now, a):
        sub = self.pending.get(a.id)
        if sub is not None:
            self.answer(sub, "written_off")
            if sub.notice is not None:
                self.ledger.give_up(sub.number)
            self.over_unless_running(sub)

    def over_unless_running(self, sub):
        if sub.run == IDLE:
            self.repeating.end_joiners(sub, None)
            self.drop(sub)

    def do_health(self, now, a):
        self.healthy, self.shallow = a.healthy, a.shallow
        self.reporter.tell(a.healthy)

    def do_say(self, now, a):
        self.load = a.value

    def do_close_idle(self, now, a):
        self.gateways.idle_timeout = a.idle_time

    def do_wake(self, now, a):
        heapq.heappush(self.wakes, (now + a.delay, a.timer))

    def do_note(self, now, a):
        self.log("note", {"text": a.text})

    def tables(self):
        """What is done with each message, and with each action, by its type."""
        runs, repeating = self.executions, self.repeating
        takes = {
            messages.ExecutorConnected: self.on_link_up,
            messages.ExecutorDisconnected: runs.on_link_down,
            messages.NoticesLost: runs.on_notices_missed,
            messages.InDoubtCheckDue: runs.on_doubt,
            messages.SubmissionReceived: self.on_arrival,
            messages.SubmissionCancelled: self.on_withdrawal,
            messages.ConnectionClosed: self.on_connection_ended,
            messages.HealthCheckRequested: self.on_check,
            messages.CallFinished: runs.on_call_over,
            messages.DeferredEvent: self.on_told,
            messages.DrainRequested: self.on_leaving,
            messages.StopRequested: self.on_stopping,
            messages.StoreProgressed: repeating.on_disk_news,
            executor_protocol.RunEnded: runs.on_run_over,
            executor_protocol.CallRequest: runs.on_call_wanted,
            executor_protocol.GaugesReported: runs.on_gauged,
            executor_protocol.DiagnosisReported: self.on_diagnosed,
            executor_protocol.CommandRejected: runs.on_not_carried_out,
        }
        does = {
            interface.Start: runs.do_start,
            interface.Interrupt: runs.do_halt,
            interface.Reject: self.do_turn_back,
            interface.Fail: self.do_write_off,
            interface.Call: runs.do_call,
            interface.BypassCall: runs.do_go_without,
            interface.StoreKey: repeating.do_remember,
            interface.Forget: repeating.do_forget,
            interface.AnswerFromOriginal: repeating.do_answer_from,
            interface.Health: self.do_health,
            interface.AdvertiseLoad: self.do_say,
            interface.CloseIdleConnections: self.do_close_idle,
            interface.SetTimer: self.do_wake,
            interface.Trace: self.do_note,
        }
        return takes, does
