"""Runs and calls of open submissions: what was sent, what is known to have arrived, and what is in doubt.

Decides nothing. The executor reads commands in order, so gauges that were asked for after a start prove that
it arrived; what was sent on a link that broke and is not proved is in doubt until something proves it.
"""

from __future__ import annotations

from ..admission import interface
from ..protocol import executor as executor_protocol
from . import messages
from .executor_client import REPLAY_END
from .pending_request import DOUBTED, IDLE, NOTED, REACHED, SENT, UNSENT, WANTED, Reply

# A run in doubt has this many times its hinted work, and so many seconds on top, to be heard of: most runs
# end sooner, and what is told to stop when it does run is lost.
DOUBT, DOUBT_LEAST = 3.0, 0.1

ENDS = {
    executor_protocol.RunResult.DONE: interface.Outcome.DONE,
    executor_protocol.RunResult.FAILED: interface.Outcome.ERROR,
    executor_protocol.RunResult.STOPPED: interface.Outcome.CANCELLED,
    executor_protocol.RunResult.NOTHING: interface.Outcome.MOOT,
}


class Executions:
    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.gauges, self.gauged_at, self.mark, self.seen_mark = (), -1.0, 0, 0
        self.asked_at, self.links = 0.0, 0  # links that have come up

    def ask_gauges(self, now):
        self.mark += 1
        self.asked_at = now
        self.dispatcher.link.send(executor_protocol.gauge(str(self.mark)))

    def on_link_down(self, now, m):
        for sub in self.dispatcher.pending.values():
            if sub.run == SENT:
                sub.run = REACHED if sub.sent_at < m.arrived else DOUBTED
            if sub.reply is not None and sub.reply.sent and sub.reply.at < m.arrived:
                sub.reply = None

    def on_notices_missed(self, now, m):
        """An end may be among them."""
        for sub in self.dispatcher.pending.values():
            if sub.run not in UNSENT:
                sub.run, sub.unheard = DOUBTED, True

    def on_gauged(self, now, m):
        if m.token == REPLAY_END:
            self.resume_runs()
            return
        self.gauges, self.gauged_at = m.values, now
        self.dispatcher.times.add("gauge", now - self.asked_at)
        # Commands are read in order: what was sent before these gauges were asked for has arrived there.
        self.seen_mark = int(m.token) if m.token.isdigit() else self.seen_mark
        doubted = []
        for sub in self.dispatcher.pending.values():
            if sub.run == SENT and sub.sent_mark < self.seen_mark:
                sub.run = REACHED
            if sub.reply is not None and sub.reply.mark < self.seen_mark:
                sub.reply = None
            if sub.run == DOUBTED and (sub.answered or sub.probed) and self.surely_not_running(sub):
                doubted.append(sub)
        for sub in doubted:
            self.doubt_over(sub)

    def surely_not_running(self, sub):
        """The executor was told to stop it and has told of no end since, so there is no run. Where work
        can't be stopped, the caller's time being up has to do."""
        if self.dispatcher.settings.interruption is interface.Interruption.UNSUPPORTED:
            return True
        return sub.halted is not None and sub.halted < self.seen_mark

    def doubt_over(self, sub):
        """One that never ran, and is owed its answer, is the module's to start again. That there is no run
        now does not prove that there was none where its end may have been missed, or nobody was asked."""
        proved = (
            not sub.unheard
            and self.dispatcher.settings.interruption is not interface.Interruption.UNSUPPORTED
        )
        if proved or sub.w.effect is interface.Effect.IDEMPOTENT:
            self.dispatcher.count("executor.never_ran")
            sub.ran = False
            self.dispatcher.repeating.never_began(sub)
            self.run_over(sub, interface.Outcome.CANCELLED, 0.0, None)
        else:
            self.dispatcher.count("executor.end_unheard")
            self.run_over(sub, interface.Outcome.ERROR, 0.0, None)

    def resume_runs(self):
        """After a join, when all missed notices were read: sends again what may be sent again. What must not
        run twice and is not heard of in the time that it should take is told to stop: no end means no run."""
        now = self.dispatcher.scheduler.clock()
        for sub in list(self.dispatcher.pending.values()):
            if sub.run == WANTED or sub.run == DOUBTED and sub.w.effect is interface.Effect.IDEMPOTENT:
                self.send_start(sub)
            elif sub.run == DOUBTED:
                self.dispatcher.count("executor.doubts")
                wait = sub.sent_at + DOUBT_LEAST + DOUBT * (sub.hint or 0.0) - now
                self.dispatcher.scheduler.call_later(
                    wait, self.dispatcher.mailbox.push, messages.InDoubtCheckDue(sub.number)
                )
            if sub.reply is not None and not (sub.reply.sent and sub.reply.link == self.links):
                reply = sub.reply  # one sent on this link is not sent twice: it could meet the next call
                self.dispatcher.link.send(reply.instead if reply.sent and reply.instead else reply.line)
            if sub.halting:
                self.send_halt(sub)

    def on_doubt(self, now, m):
        sub = self.dispatcher.pending.get(m.number)
        can = self.dispatcher.settings.interruption is not interface.Interruption.UNSUPPORTED
        if sub is not None and sub.run == DOUBTED and not sub.halting and can:
            sub.probed = sub.halting = True
            self.send_halt(sub)

    def on_run_over(self, now, m):
        sub = self.dispatcher.by_call.get(m.call)
        if sub is None or sub.run in UNSENT:
            if not self.dispatcher.repeating.told(m.call, ENDS[m.end], m.result):
                self.dispatcher.count("executor.run_of_none")
            return
        outcome = ENDS[m.end]
        if (
            outcome is interface.Outcome.CANCELLED
            and sub.probed
            and self.dispatcher.settings.interruption is interface.Interruption.CANCEL
        ):
            outcome = interface.Outcome.ERROR  # it did run, and what it did is lost
        if outcome is interface.Outcome.CANCELLED and not sub.halting and not sub.answered:
            # Ended unasked: its caller has gone, though nobody said so. One answer does no harm.
            self.dispatcher.events.append(interface.CallerGone(sub.number))
            self.dispatcher.answer(sub, "unasked_end")
        self.run_over(sub, outcome, m.duration, m.result)

    def run_over(self, sub, outcome, took, result):
        self.dispatcher.count("run." + outcome.name.lower())
        if (
            outcome is interface.Outcome.MOOT
        ):  # over without a run: its mark must not turn the one it copies away
            self.dispatcher.repeating.never_began(sub)
            self.dispatcher.repeating.table.remove(sub.number)
        self.dispatcher.ledger.give_up(sub.number)
        sub.run, sub.notice, sub.reply = IDLE, None, None
        sub.halting, sub.halted, sub.probed, sub.unheard = False, None, False, False
        self.dispatcher.events.append(interface.Ended(sub.number, outcome, took))
        if outcome is interface.Outcome.DONE:
            self.dispatcher.answer(sub, "delivered", result)
        elif outcome is not interface.Outcome.CANCELLED:
            self.dispatcher.answer(sub, "written_off")
        if outcome is not interface.Outcome.CANCELLED or sub.answered:
            self.dispatcher.repeating.end_joiners(sub, result if outcome is interface.Outcome.DONE else None)
            self.dispatcher.drop(sub)

    def on_call_wanted(self, now, m):
        sub = self.dispatcher.by_call.get(m.call)
        if sub is None or sub.run in UNSENT:
            self.dispatcher.count("executor.call_of_none")
            if sub is None and self.dispatcher.repeating.kept is not None:
                self.end_orphan(m)
            return
        sub.run, sub.notice, sub.reply = REACHED, (m.number, m.body), None
        sub.unheard = False
        sub.attempt += 1
        self.dispatcher.count("executor.calls_wanted")
        self.dispatcher.events.append(interface.CallRequested(sub.number))

    def end_orphan(self, m):
        """A run from before a restart stands at its call, which may have been made: it is never made again.
        The run goes on without it where that is allowed, else it is stopped."""
        workload = self.dispatcher.repeating.unsettled(m.call)
        index = self.dispatcher.names.workloads.get(workload)
        self.dispatcher.count("executor.orphans")
        if index is not None and self.dispatcher.settings.workloads[index].degraded_value_share > 0:
            self.dispatcher.link.send(executor_protocol.bypass(m.call, m.number))
        elif self.dispatcher.settings.interruption is not interface.Interruption.UNSUPPORTED:
            self.dispatcher.link.send(executor_protocol.interrupt(m.call))

    def on_call_over(self, now, m):
        sub = self.dispatcher.pending.get(m.number)
        if sub is None or sub.notice is None or sub.attempt != m.attempt:
            self.dispatcher.count("ledger.reply_of_none")
            return
        if self.dispatcher.reducing is not None:
            self.dispatcher.reducing.call_ended(now, m.outcome, m.duration)
        if m.outcome is interface.Outcome.DONE:
            self.send_reply(sub, executor_protocol.reply(sub.call, m.body))
        self.dispatcher.events.append(interface.CallEnded(m.number, m.outcome, m.duration))

    def send_reply(self, sub, line):
        """Kept until the executor is known to have it. A reply that may have come through before a link broke
        must not meet the run's next call: going on without this one names its notice and can't."""
        instead = (
            executor_protocol.bypass(sub.call, sub.notice[0]) if sub.w.degraded_value_share > 0 else None
        )
        sent = self.dispatcher.link.send(line)
        sub.reply, sub.notice = (
            Reply(self.mark, self.dispatcher.scheduler.clock(), line, instead, sent, self.links),
            None,
        )
        sub.attempt += 1

    def on_not_carried_out(self, now, m):
        """The executor was never sent what is to be run: whoever sent it to us made it up."""
        self.dispatcher.count("executor.bad." + m.command.lower())
        sub = self.dispatcher.by_call.get(m.call)
        if sub is not None and m.command == "EXEC" and sub.run not in UNSENT:
            connection = sub.connection
            self.run_over(sub, interface.Outcome.MOOT, 0.0, None)
            connection.refuse_connection("made up")

    def do_start(self, now, a):
        sub = self.dispatcher.pending.get(a.id)
        if sub is None or sub.answered or sub.run != IDLE:
            if sub is None:  # over already: the module hears that nothing was started
                self.dispatcher.put_later(
                    messages.DeferredEvent(interface.Ended(a.id, interface.Outcome.MOOT, 0.0))
                )
            return
        self.send_start(sub)

    def send_start(self, sub):
        """Deduplicated work first goes to the disk, where there is a store: `on_noted` comes back to this."""
        if self.dispatcher.repeating.note_first(sub):
            sub.run = NOTED
            return
        sent = self.dispatcher.link.send(executor_protocol.start(sub.call, sub.workload, sub.body))
        sub.run, sub.ran, sub.sent_mark = SENT if sent else WANTED, sub.ran or sent, self.mark
        sub.sent_at = self.dispatcher.scheduler.clock()

    def do_halt(self, now, a):
        sub = self.dispatcher.pending.get(a.id)
        if sub is None or sub.run == IDLE:
            return
        if sub.run in (WANTED, NOTED):  # never sent
            sub.run = IDLE
            self.dispatcher.repeating.never_began(sub)
            self.dispatcher.put_later(
                messages.DeferredEvent(interface.Ended(a.id, interface.Outcome.CANCELLED, 0.0))
            )
            if sub.answered:
                self.dispatcher.drop(sub)
            return
        sub.halting = True
        self.send_halt(sub)

    def send_halt(self, sub):
        sub.halted = self.mark if self.dispatcher.link.send(executor_protocol.interrupt(sub.call)) else None

    def do_call(self, now, a):
        sub = self.dispatcher.pending.get(a.id)
        if sub is not None and sub.notice is not None:
            sub.attempt += 1
            self.dispatcher.count("out.calls")
            self.dispatcher.ledger.call(sub.number, sub.attempt, sub.call, a.timeout, sub.notice[1])

    def do_go_without(self, now, a):
        sub = self.dispatcher.pending.get(a.id)
        if sub is not None and sub.notice is not None:
            self.dispatcher.count("out.without_call")
            self.dispatcher.ledger.give_up(sub.number)
            self.send_reply(sub, executor_protocol.bypass(sub.call, sub.notice[0]))

    def on_noted(self, number):
        """Its intent is durable."""
        sub = self.dispatcher.pending.get(number)
        if sub is not None and sub.run == NOTED:
            sub.noted = True
            self.send_start(sub)

    def not_noted(self, number):
        """It can't be made durable: it never runs, and the module hears why."""
        sub = self.dispatcher.pending.get(number)
        if sub is not None and sub.run == NOTED:
            sub.run = IDLE
            self.dispatcher.events.append(interface.Ended(number, interface.Outcome.UNSTORED, 0.0))
            if sub.answered:
                self.dispatcher.drop(sub)
