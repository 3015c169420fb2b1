"""Owns the module: takes all that is due, has it decide once, carries its actions out in order.

Decides nothing. What is kept of a submission here is what carrying out needs: where its answer goes, how far
its run and its call have come, and what of that is in doubt while the link to the executor is broken.
"""

from __future__ import annotations

import heapq
import time
from typing import NamedTuple

from .. import interface as it
from ..protocol import executor as lines
from ..transport.scheduler import Mailbox
from . import messages as msg
from .executor import REPLAY_END
from .repeats import Repeats

GAUGES_AHEAD = 0.005  # s before a wake-up that its gauges are asked for: the answer took 0.3 ms, 1 at most
GAUGES_LAST = 0.3  # s that gauges count as the moment's: three sweeps, so that one late answer is bridged
# A run in doubt has this many times its hinted work, and so many seconds on top, to be heard of: most runs
# end sooner, and what is told to stop when it does run is lost.
DOUBT, DOUBT_LEAST = 3.0, 0.1
CHECK_PATIENCE = 1.0  # s for a deep check: what takes longer is no good server either

ENDS = {lines.End.DONE: it.Outcome.DONE, lines.End.FAILED: it.Outcome.ERROR,
        lines.End.STOPPED: it.Outcome.CANCELLED, lines.End.NOTHING: it.Outcome.MOOT}
# What a front's connection is asked for, by the name that an answer is counted under.
ANSWERS = {"delivered": "deliver", "turned_back": "turn_back", "written_off": "write_off",
           "unasked_end": "write_off"}
# How far a run has come: not asked for; wanted while there is no link; sent, and not yet known to have
# reached the executor; known to. DOUBTED: sent on a link that broke, and must not run twice.
IDLE, WANTED, SENT, REACHED, DOUBTED = range(5)


class Open:
    """A submission that is owed an answer, runs, or both."""

    __slots__ = ("answered", "attempt", "body", "call", "connection", "halted", "halting", "hint", "key",
                 "notice", "number", "probed", "ran", "repeats", "reply", "run", "sent_at", "sent_mark",
                 "since", "stream", "w", "workload")

    def __init__(self, since, number, connection, stream, call, workload, w, body, key, hint):
        self.number, self.connection, self.stream, self.call = number, connection, stream, call
        self.workload, self.w, self.body, self.key, self.since = workload, w, body, key, since
        self.hint, self.answered, self.run, self.ran = hint, False, IDLE, False
        self.sent_mark, self.sent_at = 0, 0.0
        self.halting, self.halted = False, None  # asked to stop; the gauges' mark when that was sent
        self.probed = False  # told to stop only to find out whether it runs
        self.notice, self.reply, self.attempt = None, None, 0  # the call: wanted, replied, its count
        self.repeats = None


class Reply(NamedTuple):
    """What was sent for a call, kept until the executor is known to have it."""

    mark: int  # the gauges asked for last before it
    at: float
    line: bytes
    instead: bytes | None  # what says the same and can't meet the run's next call
    sent: bool


class Core:
    def __init__(self, scheduler, names, bounds, pace, make_rules, link, ledger, gateways, reporter, count,
                 times, log):
        self.scheduler, self.pace, self.make_rules = scheduler, pace, make_rules
        self.names, self.settings = names, names.settings
        self.link, self.ledger, self.gateways, self.reporter = link, ledger, gateways, reporter
        self.count, self.log = count, log
        self.most_open, self.mailbox = bounds.submissions, Mailbox(scheduler, bounds.messages)
        self.rules, self.numbers = None, 0
        self.open, self.by_call, self.by_stream, self.joiners = {}, {}, {}, {}
        self.repeats, self.batch = Repeats(bounds.results), {}
        self.wakes, self.asked, self.asked_at, self.times = [], 0.0, 0.0, times
        self.gauges, self.gauged_at, self.mark, self.seen_mark = (), -1.0, 0, 0
        self.good, self.shallow, self.load, self.checks = False, True, None, {}
        self.leave, self.events, self.trace = None, [], None

    def owed(self):
        return sum(not sub.answered for sub in self.open.values())

    def beliefs(self):
        """How many submissions are open, owed and running, and how old the gauges are."""
        subs, idle = self.open.values(), (IDLE, WANTED)
        return {"open": len(subs), "owed": self.owed(),
                "running": sum(sub.run not in idle for sub in subs),
                "in_doubt": sum(sub.run == DOUBTED for sub in subs),
                "at_calls": sum(sub.notice is not None for sub in subs),
                "gauges_age_s": self.scheduler.clock() - self.gauged_at, "good": int(self.good)}

    # ---- the loop

    def put(self, message):
        self.mailbox.put(message)

    def run(self):
        while True:
            self.turn(self.mailbox.take_all(self.next_due()))
            gap = self.pace.gap()
            if gap:
                self.count("core.paced")
                self.scheduler.sleep(gap)

    def next_due(self):
        if not self.wakes or self.rules is None:
            return None
        when = self.wakes[0][0]
        return max(0.0, (when if self.asked >= when else when - GAUGES_AHEAD) - self.scheduler.clock())

    def turn(self, taken):
        now = self.scheduler.clock()
        self.events, self.batch = [], {}
        for message in taken:
            self.carry(self.TAKES, now, message)
        self.meet_wakes(now)
        if self.rules is None or not self.events:
            return
        self.count("core.turns")
        try:
            actions = self.rules.decide(now, self.events)
            self.times.add("decide", self.scheduler.clock() - now)
        except Exception as error:
            self.module_failed(now, error)
            return
        for action in actions:
            self.carry(self.DOES, now, action)

    def carry(self, table, now, item):
        """A fault with one message or action is told and ends there; the others are carried out."""
        try:
            table[type(item)](self, now, item)
        except Exception as error:
            self.count("errors.core")
            self.log("core_fault", {"item": type(item).__name__}, fault=error)
            if isinstance(item, msg.Arrival):
                item.connection.turn_back(item.submission.stream, self.load)

    def meet_wakes(self, now):
        if self.wakes and self.asked < self.wakes[0][0] <= now + GAUGES_AHEAD:
            self.asked = self.wakes[0][0]
            self.mark += 1
            self.asked_at = now
            self.link.send(lines.gauge(str(self.mark)))
        due = {}
        while self.wakes and self.wakes[0][0] <= now:
            when, mark = heapq.heappop(self.wakes)
            due.setdefault(mark, when)  # after a pause one wake-up of a mark stands for all
        if due:
            self.times.add("wake_late", now - min(due.values()))
        for mark in due:
            fresh = now - self.gauged_at <= GAUGES_LAST
            self.events.append(it.Woken(mark, self.names.gauges(self.gauges if fresh else ())))
        if due:
            self.repeats.expire(now)
            self.link.check()

    def module_failed(self, now, error):
        """Answers what is owed as truthfully as is known, and goes on with a module that knows nothing."""
        self.log("module_failed", fault=error)
        self.count("core.module_failed")
        for sub in list(self.open.values()):
            if not sub.ran and sub.w.effect is not it.Effect.DEDUPLICATED:
                self.answer(sub, "turned_back")
            else:
                self.answer(sub, "written_off")
            self.ledger.give_up(sub.number)
            if sub.run != IDLE and self.settings.halting is not it.Halting.OFF:
                self.link.send(lines.halt(sub.call))
            self.drop(sub)
        self.rules, self.good = None, False
        try:
            self.start_module(now, False, 0.0)
        except Exception as again:  # without a module all is turned back and health is not good
            self.log("module_failed", fault=again)

    def start_module(self, now, cold, age):
        """A notice to leave that came before is told as of then: the grace counts from the notice."""
        when, notice = self.leave if self.leave is not None else (now, None)
        rules, self.wakes = self.make_rules(cold, age), []
        actions = rules.decide(when, [] if notice is None else [notice])
        self.rules = rules
        for action in actions:
            self.carry(self.DOES, now, action)

    # ---- what comes in

    def on_link_up(self, now, m):
        self.count("executor.joined")
        if self.rules is None:
            self.log("welcome", {"cold": m.cold, "age": m.age, "told_cold": self.settings.cold})
            self.start_module(now, m.cold, m.age)

    def on_link_down(self, now, m):
        for sub in self.open.values():
            if sub.run == SENT:
                sub.run = REACHED if sub.sent_at < m.arrived else DOUBTED
            if sub.reply is not None and sub.reply.sent and sub.reply.at < m.arrived:
                sub.reply = None

    def on_notices_missed(self, now, m):
        """An end may be among them."""
        for sub in self.open.values():
            if sub.run in (SENT, REACHED):
                sub.run = DOUBTED

    def on_arrival(self, now, m):
        s, connection = m.submission, m.connection
        if self.rules is None or len(self.open) >= self.most_open:
            self.count("in.too_early" if self.rules is None else "in.over_all")
            connection.turn_back(s.stream, self.load)
            return
        if s.call in self.by_call:  # one submission has one answer, which is its first caller's alone
            self.count("in.again")
            connection.write_off(s.stream, self.load)
            return
        self.numbers += 1
        number, workload = self.numbers, self.names.workloads[s.workload]
        w = self.settings.workloads[workload]
        waited = max(0.0, time.time() - s.reached)
        key = self.key_of(s, workload, w)
        sub = Open(now, number, connection, s.stream, s.call, s.workload, w, s.body, key, s.hint)
        repeats = None
        if key is not None:
            repeats = self.repeats.repeated(key, now - waited) or self.batch.get(key)
            self.batch.setdefault(key, number)
        sub.repeats = repeats
        self.open[number] = self.by_call[s.call] = self.by_stream[connection, s.stream] = sub
        left = None if s.wait is None or not self.names.passes_wait else max(0.0, s.wait - waited)
        self.events.append(it.Arrived(
            id=number, workload=workload, tenant=self.names.tenants.get(s.tenant), waited=waited, rank=s.rank,
            retry=s.retry, subject=s.subject, caller=s.caller, memory=s.memory, left=left, repeats=repeats,
            cost_hint=s.hint))

    def key_of(self, s, workload, w):
        """What a repeat shares with the one it repeats: the mark of a deduplicated one, else what is read."""
        if w.effect is it.Effect.DEDUPLICATED:
            return None if s.mark is None else (workload, s.mark)
        reads = w.effect is it.Effect.IDEMPOTENT and self.settings.fresh_for > 0
        return (workload, s.subject) if reads and s.subject is not None else None

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
            self.events.append(it.Gone(sub.number))
            if sub.run == IDLE:
                self.drop(sub)

    def on_check(self, now, m):
        if self.shallow or not m.deep or self.rules is None or not self.good:
            self.answer_check(m.connection, m.stream, self.good)
            return
        self.mark += 1
        mark = f"check{self.mark}"
        self.checks[mark] = (m.connection, m.stream)
        if not self.link.send(lines.diagnose(mark)):
            self.check_over(mark, False)
        self.scheduler.call_later(CHECK_PATIENCE, self.check_over, mark, False)

    def on_diagnosed(self, now, m):
        self.check_over(m.mark, m.good)

    def check_over(self, mark, good):
        connection, stream = self.checks.pop(mark, (None, None))
        if connection is not None:
            self.answer_check(connection, stream, good and self.good)

    def answer_check(self, connection, stream, good):
        self.count("out.checks_good" if good else "out.checks_bad")
        connection.tell_health(stream, self.load, good)

    def on_gauged(self, now, m):
        if m.mark == REPLAY_END:
            self.resume_runs()
            return
        self.gauges, self.gauged_at = m.values, now
        self.times.add("gauge", now - self.asked_at)
        # Commands are read in order: what was sent before these gauges were asked for has arrived there.
        self.seen_mark = int(m.mark) if m.mark.isdigit() else self.seen_mark
        doubted = []
        for sub in self.open.values():
            if sub.run == SENT and sub.sent_mark < self.seen_mark:
                sub.run = REACHED
            if sub.reply is not None and sub.reply.mark < self.seen_mark:
                sub.reply = None
            if sub.run == DOUBTED and (sub.answered or sub.probed) and self.surely_not_running(sub):
                doubted.append(sub)
        for sub in doubted:
            self.never_ran(sub)

    def surely_not_running(self, sub):
        """The executor was told to stop it and has told of no end since, so there was no run. Where work
        can't be stopped, the caller's time being up has to do."""
        if self.settings.halting is it.Halting.OFF:
            return True
        return sub.halted is not None and sub.halted < self.seen_mark

    def never_ran(self, sub):
        """One that is owed its answer is the module's to start again."""
        self.count("executor.never_ran")
        sub.ran = False
        self.run_over(sub, it.Outcome.CANCELLED, 0.0, None)

    def resume_runs(self):
        """After a join, when all missed notices were read: sends again what may be sent again. What must not
        run twice and is not heard of in the time that it should take is told to stop: no end means no run."""
        now = self.scheduler.clock()
        for sub in list(self.open.values()):
            if sub.run == WANTED or sub.run == DOUBTED and sub.w.effect is it.Effect.IDEMPOTENT:
                self.send_start(sub)
            elif sub.run == DOUBTED:
                self.count("executor.doubts")
                wait = sub.sent_at + DOUBT_LEAST + DOUBT * (sub.hint or 0.0) - now
                self.scheduler.call_later(wait, self.mailbox.push, msg.Doubt(sub.number))
            if sub.reply is not None:
                reply = sub.reply
                self.link.send(reply.instead if reply.sent and reply.instead else reply.line)
            if sub.halting:
                self.send_halt(sub)

    def on_doubt(self, now, m):
        sub = self.open.get(m.number)
        can = self.settings.halting is not it.Halting.OFF
        if sub is not None and sub.run == DOUBTED and not sub.halting and can:
            sub.probed = sub.halting = True
            self.send_halt(sub)

    def on_run_over(self, now, m):
        sub = self.by_call.get(m.call)
        if sub is None or sub.run == IDLE:
            self.count("executor.run_of_none")
            return
        outcome = ENDS[m.end]
        if outcome is it.Outcome.CANCELLED and sub.probed and self.settings.halting is it.Halting.DROP:
            outcome = it.Outcome.ERROR  # it did run, and what it did is lost
        if outcome is it.Outcome.CANCELLED and not sub.halting and not sub.answered:
            # Ended unasked: its caller has gone, though nobody said so. One answer does no harm.
            self.events.append(it.Gone(sub.number))
            self.answer(sub, "unasked_end")
        self.run_over(sub, outcome, m.took, m.result)

    def run_over(self, sub, outcome, took, result):
        self.count("run." + outcome.name.lower())
        self.ledger.give_up(sub.number)
        sub.run, sub.notice, sub.reply = IDLE, None, None
        sub.halting, sub.halted, sub.probed = False, None, False
        self.events.append(it.Ended(sub.number, outcome, took))
        if outcome is it.Outcome.DONE:
            self.answer(sub, "delivered", result)
        elif outcome is not it.Outcome.CANCELLED:
            self.answer(sub, "written_off")
        if outcome is not it.Outcome.CANCELLED or sub.answered:
            self.end_joiners(sub, result if outcome is it.Outcome.DONE else None)
            self.drop(sub)

    def end_joiners(self, sub, result):
        self.repeats.ended(sub.number, result)
        for number in self.joiners.pop(sub.number, ()):
            self.end_joined(self.open.get(number), result)

    def end_joined(self, sub, result):
        if sub is None or sub.answered:
            return
        if result is None:
            self.answer(sub, "written_off")
        else:
            self.answer(sub, "delivered", result)
        self.drop(sub)
        outcome = it.Outcome.ERROR if result is None else it.Outcome.DONE
        self.put_later(msg.Told(it.Ended(sub.number, outcome, 0.0)))

    def put_later(self, message):
        """For what a turn tells the module in the next one."""
        self.scheduler.spawn(self.put, message, name="later")

    def on_call_wanted(self, now, m):
        sub = self.by_call.get(m.call)
        if sub is None or sub.run == IDLE:
            self.count("executor.call_of_none")
            return
        sub.run, sub.notice, sub.reply = REACHED, (m.number, m.body), None
        sub.attempt += 1
        self.count("executor.calls_wanted")
        self.events.append(it.AtCall(sub.number))

    def on_call_over(self, now, m):
        sub = self.open.get(m.number)
        if sub is None or sub.notice is None or sub.attempt != m.attempt:
            self.count("ledger.reply_of_none")
            return
        if m.outcome is it.Outcome.DONE:
            self.send_reply(sub, lines.reply(sub.call, m.body))
        self.events.append(it.CallEnded(m.number, m.outcome, m.took))

    def send_reply(self, sub, line):
        """Kept until the executor is known to have it. A reply that may have come through before a link broke
        must not meet the run's next call: going on without this one names its notice and can't."""
        instead = lines.go_without(sub.call, sub.notice[0]) if sub.w.poorer_share > 0 else None
        sent = self.link.send(line)
        sub.reply, sub.notice = Reply(self.mark, self.scheduler.clock(), line, instead, sent), None
        sub.attempt += 1

    def on_not_carried_out(self, now, m):
        """The executor was never sent what is to be run: whoever sent it to us made it up."""
        self.count("executor.bad." + m.command.lower())
        sub = self.by_call.get(m.call)
        if sub is not None and m.command == "EXEC" and sub.run != IDLE:
            connection = sub.connection
            self.run_over(sub, it.Outcome.MOOT, 0.0, None)
            connection.refuse_connection("made up")

    def on_told(self, now, m):
        self.events.append(m.event)

    def on_leaving(self, now, m):
        self.leave = now, it.Leave(m.left)
        self.reporter.tell(False)
        self.events.append(self.leave[1])

    TAKES = {
        msg.LinkUp: on_link_up, msg.LinkDown: on_link_down, msg.NoticesMissed: on_notices_missed,
        msg.Doubt: on_doubt,
        msg.Arrival: on_arrival,
        msg.Withdrawal: on_withdrawal, msg.ConnectionEnded: on_connection_ended, msg.Check: on_check,
        msg.CallOver: on_call_over, msg.Told: on_told, msg.Leaving: on_leaving, lines.RunOver: on_run_over,
        lines.CallWanted: on_call_wanted, lines.Gauged: on_gauged, lines.Diagnosed: on_diagnosed,
        lines.NotCarriedOut: on_not_carried_out,
    }

    # ---- answers

    def answer(self, sub, kind, *what):
        """The one final answer, unless its caller has one or has gone."""
        if not sub.answered:
            self.count("out." + kind)
            getattr(sub.connection, ANSWERS[kind])(sub.stream, self.load, *what)
            if self.trace is not None:
                self.trace("answered", {"call": sub.call, "workload": sub.workload, "kind": kind,
                                        "after": self.scheduler.clock() - sub.since})
            self.forget_caller(sub)

    def forget_caller(self, sub):
        sub.answered = True
        self.by_stream.pop((sub.connection, sub.stream), None)

    def drop(self, sub):
        self.open.pop(sub.number, None)
        self.by_call.pop(sub.call, None)
        self.by_stream.pop((sub.connection, sub.stream), None)

    # ---- what the module asks for

    def do_start(self, now, a):
        sub = self.open.get(a.id)
        if sub is None or sub.answered or sub.run != IDLE:
            if sub is None:  # over already: the module hears that nothing was started
                self.put_later(msg.Told(it.Ended(a.id, it.Outcome.MOOT, 0.0)))
            return
        self.send_start(sub)

    def send_start(self, sub):
        sent = self.link.send(lines.start(sub.call, sub.workload, sub.body))
        sub.run, sub.ran, sub.sent_mark = SENT if sent else WANTED, sub.ran or sent, self.mark
        sub.sent_at = self.scheduler.clock()

    def do_halt(self, now, a):
        sub = self.open.get(a.id)
        if sub is None or sub.run == IDLE:
            return
        if sub.run == WANTED:  # never sent
            sub.run = IDLE
            self.put_later(msg.Told(it.Ended(a.id, it.Outcome.CANCELLED, 0.0)))
            if sub.answered:
                self.drop(sub)
            return
        sub.halting = True
        self.send_halt(sub)

    def send_halt(self, sub):
        sub.halted = self.mark if self.link.send(lines.halt(sub.call)) else None

    def do_turn_back(self, now, a):
        sub = self.open.get(a.id)
        if sub is not None:
            self.answer(sub, "turned_back", a.retry_in, a.final)
            self.over_unless_running(sub)

    def do_write_off(self, now, a):
        sub = self.open.get(a.id)
        if sub is not None:
            self.answer(sub, "written_off")
            if sub.notice is not None:
                self.ledger.give_up(sub.number)
            self.over_unless_running(sub)

    def over_unless_running(self, sub):
        if sub.run == IDLE:
            self.end_joiners(sub, None)
            self.drop(sub)

    def do_call(self, now, a):
        sub = self.open.get(a.id)
        if sub is not None and sub.notice is not None:
            sub.attempt += 1
            self.count("out.calls")
            self.ledger.call(sub.number, sub.attempt, sub.call, a.wait, sub.notice[1])

    def do_go_without(self, now, a):
        sub = self.open.get(a.id)
        if sub is not None and sub.notice is not None:
            self.count("out.without_call")
            self.ledger.give_up(sub.number)
            self.send_reply(sub, lines.go_without(sub.call, sub.notice[0]))

    def do_remember(self, now, a):
        sub = self.open.get(a.id)
        if sub is not None and sub.key is not None and not self.repeats.keep(a.id, sub.key, now + a.lasting):
            self.count("repeats.no_room")

    def do_forget(self, now, a):
        self.repeats.remove(a.id)

    def do_answer_from(self, now, a):
        sub = self.open.get(a.id)
        if sub is None:
            return
        entry = self.repeats.by_number.get(sub.repeats)
        if sub.repeats in self.open:
            self.joiners.setdefault(sub.repeats, []).append(a.id)
        else:
            self.end_joined(sub, entry.result if entry is not None else None)

    def do_health(self, now, a):
        self.good, self.shallow = a.good, a.shallow
        self.reporter.tell(a.good)

    def do_say(self, now, a):
        self.load = a.value

    def do_close_idle(self, now, a):
        self.gateways.idle_after = a.after

    def do_wake(self, now, a):
        heapq.heappush(self.wakes, (now + a.after, a.mark))

    def do_note(self, now, a):
        self.log("note", {"text": a.text})

    DOES = {
        it.Start: do_start, it.Halt: do_halt, it.TurnBack: do_turn_back, it.WriteOff: do_write_off,
        it.Call: do_call, it.GoWithout: do_go_without, it.Remember: do_remember, it.Forget: do_forget,
        it.AnswerFrom: do_answer_from, it.Health: do_health, it.Say: do_say, it.CloseIdle: do_close_idle,
        it.Wake: do_wake, it.Note: do_note,
    }
