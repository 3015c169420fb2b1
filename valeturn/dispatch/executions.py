"""Executions and calls of pending submissions: what was sent, what has arrived, and what is in doubt.

Nothing is decided here. The executor reads commands in order, so a report of gauges that were requested after
a start proves that the start arrived. What was sent on a connection that broke, and is not proved to have
arrived, is in doubt until something proves it.
"""

from __future__ import annotations

from ..admission import interface
from ..protocol import executor as executor_protocol
from . import messages
from .executor_client import REPLAY_END
from .pending_request import (
    AWAITING_EXECUTOR,
    IN_DOUBT,
    LOGGING_INTENT,
    NOT_RUNNING,
    RECEIVED,
    SENT,
    UNSENT,
    Reply,
)

# How long an execution in doubt has until its end or its call is reported: so many times its hinted work,
# and so many seconds on top. Most executions end sooner, and one that does run and is interrupted loses its
# work.
IN_DOUBT_WORK_FACTOR, IN_DOUBT_MIN_S = 3.0, 0.1

OUTCOMES = {
    executor_protocol.RunResult.DONE: interface.Outcome.DONE,
    executor_protocol.RunResult.FAILED: interface.Outcome.ERROR,
    executor_protocol.RunResult.STOPPED: interface.Outcome.CANCELLED,
    executor_protocol.RunResult.NOTHING: interface.Outcome.MOOT,
}


class Executions:
    """Starts, interrupts and follows executions for a dispatcher; acts in its turns only."""

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        # The gauges reported last and when; the token of the gauges requested last, and of the newest report.
        self.gauges, self.gauges_at, self.gauge_token, self.reported_token = (), -1.0, 0, 0
        self.requested_at, self.connection_count = 0.0, 0  # connections to the executor made so far

    def request_gauges(self, now):
        """Ask the executor for its gauges, under a new token."""
        self.gauge_token += 1
        self.requested_at = now
        self.dispatcher.executor.send(executor_protocol.gauge(str(self.gauge_token)))

    def on_executor_disconnected(self, now, message):
        """Mark starts that may not have arrived as in doubt, and drop replies that have arrived."""
        for pending in self.dispatcher.pending.values():
            if pending.state == SENT:
                pending.state = RECEIVED if pending.sent_at < message.arrived else IN_DOUBT
            if pending.reply is not None and pending.reply.sent and pending.reply.sent_at < message.arrived:
                pending.reply = None

    def on_notices_lost(self, now, message):
        """Mark all executions as in doubt: the end of any may be among the lost notices."""
        for pending in self.dispatcher.pending.values():
            if pending.state not in UNSENT:
                pending.state, pending.end_may_be_lost = IN_DOUBT, True

    def on_gauges_reported(self, now, message):
        """Keep the gauges, and conclude which commands have arrived and which executions never began."""
        if message.token == REPLAY_END:
            self.resume_executions()
            return
        self.gauges, self.gauges_at = message.values, now
        self.dispatcher.times.add("gauge", now - self.requested_at)
        # Commands are read in order: what was sent before these gauges were requested has arrived.
        self.reported_token = int(message.token) if message.token.isdigit() else self.reported_token
        not_running = []
        for pending in self.dispatcher.pending.values():
            if pending.state == SENT and pending.sent_token < self.reported_token:
                pending.state = RECEIVED
            if pending.reply is not None and pending.reply.gauge_token < self.reported_token:
                pending.reply = None
            if (
                pending.state == IN_DOUBT
                and (pending.answered or pending.probed)
                and self.surely_not_running(pending)
            ):
                not_running.append(pending)
        for pending in not_running:
            self.end_in_doubt(pending)

    def surely_not_running(self, pending):
        """Return whether an execution in doubt is known not to run now.

        It is where the executor has received the interrupt and reported no end since. Where work can't be
        interrupted, it has to be enough that its caller no longer waits.
        """
        if self.dispatcher.settings.interruption is interface.Interruption.UNSUPPORTED:
            return True
        return pending.interrupt_token is not None and pending.interrupt_token < self.reported_token

    def end_in_doubt(self, pending):
        """End an execution in doubt that does not run now.

        If it never ran and still needs an answer, the admission controller may start it again. That it does
        not run now does not prove that it never ran where its end may have been lost, or where it could not
        be interrupted: then it fails, unless it may run twice.
        """
        proved = (
            not pending.end_may_be_lost
            and self.dispatcher.settings.interruption is not interface.Interruption.UNSUPPORTED
        )
        if proved or pending.workload_settings.effect is interface.Effect.IDEMPOTENT:
            self.dispatcher.count("executor.never_ran")
            pending.may_have_run = pending.has_begun
            self.dispatcher.deduplication.never_started(pending)
            self.end_execution(pending, interface.Outcome.CANCELLED, 0.0, None)
        else:
            self.dispatcher.count("executor.end_unheard")
            self.end_execution(pending, interface.Outcome.ERROR, 0.0, None)

    def resume_executions(self):
        """Send again what may be sent again, after a connection was made and all missed notices were read.

        An execution in doubt that must not run twice is interrupted if nothing is reported about it in the
        time that it should take: if no end is reported after the interrupt, it does not run.
        """
        now = self.dispatcher.scheduler.clock()
        for pending in list(self.dispatcher.pending.values()):
            if (
                pending.state == AWAITING_EXECUTOR
                or pending.state == IN_DOUBT
                and pending.workload_settings.effect is interface.Effect.IDEMPOTENT
            ):
                self.send_start(pending)
            elif pending.state == IN_DOUBT:
                self.dispatcher.count("executor.doubts")
                delay = (
                    pending.sent_at + IN_DOUBT_MIN_S + IN_DOUBT_WORK_FACTOR * (pending.cost_hint or 0.0) - now
                )
                self.dispatcher.scheduler.call_later(
                    delay, self.dispatcher.mailbox.push, messages.InDoubtCheckDue(pending.number)
                )
            if pending.reply is not None and not (
                pending.reply.sent and pending.reply.connection_number == self.connection_count
            ):
                # One sent on this connection is not sent twice: it could be taken for the next call's reply.
                reply = pending.reply
                self.dispatcher.executor.send(
                    reply.fallback_line if reply.sent and reply.fallback_line else reply.line
                )
            if pending.interrupting:
                self.send_interrupt(pending)

    def on_in_doubt_check_due(self, now, message):
        """Interrupt an execution that is still in doubt, to find out whether it runs."""
        pending = self.dispatcher.pending.get(message.number)
        can_interrupt = self.dispatcher.settings.interruption is not interface.Interruption.UNSUPPORTED
        if pending is not None and pending.state == IN_DOUBT and not pending.interrupting and can_interrupt:
            pending.probed = pending.interrupting = True
            self.send_interrupt(pending)

    def on_run_ended(self, now, message):
        """End the execution that the executor reports as ended."""
        pending = self.dispatcher.by_call_id.get(message.call)
        if pending is None or pending.state in UNSENT:
            if not self.dispatcher.deduplication.end_unfinished(
                message.call, OUTCOMES[message.end], message.result
            ):
                self.dispatcher.count("executor.run_of_none")
            return
        outcome = OUTCOMES[message.end]
        pending.has_begun = pending.has_begun or outcome is not interface.Outcome.MOOT
        if (
            outcome is interface.Outcome.CANCELLED
            and pending.probed
            and self.dispatcher.settings.interruption is interface.Interruption.CANCEL
        ):
            outcome = interface.Outcome.ERROR  # it did run, and its work is lost
        if outcome is interface.Outcome.CANCELLED and not pending.interrupting and not pending.answered:
            # Ended without an interrupt from here: its caller has gone, though no gateway said so. If one
            # does wait, it still gets its one answer.
            self.dispatcher.events.append(interface.CallerGone(pending.number))
            self.dispatcher.answer(pending, "unasked_end")
        self.end_execution(pending, outcome, message.duration, message.result)

    def end_execution(self, pending, outcome, duration, result):
        """End an execution: notify the controller, answer the caller, remove it unless it may start again."""
        self.dispatcher.count("run." + outcome.name.lower())
        if outcome is interface.Outcome.MOOT:
            # It ended without running: if it copied the key of another submission, that one must not
            # be rejected because of the key or of the id.
            pending.may_have_run = False
            self.dispatcher.deduplication.never_started(pending)
            self.dispatcher.deduplication.table.remove(pending.number)
        self.dispatcher.ledger.cancel(pending.number)
        pending.state, pending.call_request, pending.reply = NOT_RUNNING, None, None
        pending.interrupting, pending.interrupt_token, pending.probed, pending.end_may_be_lost = (
            False,
            None,
            False,
            False,
        )
        self.dispatcher.events.append(interface.Ended(pending.number, outcome, duration))
        if outcome is interface.Outcome.DONE:
            self.dispatcher.answer(pending, "delivered", result)
        elif outcome is not interface.Outcome.CANCELLED:
            self.dispatcher.answer(pending, "written_off")
        if outcome is not interface.Outcome.CANCELLED or pending.answered:
            self.dispatcher.deduplication.end_coalesced(
                pending, result if outcome is interface.Outcome.DONE else None
            )
            self.dispatcher.remove(pending)

    def on_call_requested(self, now, message):
        """Ask the controller about the call that an execution needs."""
        pending = self.dispatcher.by_call_id.get(message.call)
        if pending is None or pending.state in UNSENT:
            self.dispatcher.count("executor.call_of_none")
            if pending is None and self.dispatcher.deduplication.result_store is not None:
                self.release_orphan(message)
            return
        pending.state, pending.call_request, pending.reply = RECEIVED, (message.number, message.body), None
        pending.end_may_be_lost, pending.has_begun = False, True
        pending.attempt += 1
        self.dispatcher.count("executor.calls_wanted")
        self.dispatcher.events.append(interface.CallRequested(pending.number))

    def release_orphan(self, message):
        """Keep an execution from before a restart from waiting for its call.

        The call may have been made, so it is never made again. The execution goes on without it where the
        workload allows that, else it is interrupted.
        """
        workload = self.dispatcher.deduplication.unfinished_workload(message.call)
        index = self.dispatcher.decoded_settings.workloads.get(workload)
        self.dispatcher.count("executor.orphans")
        if index is not None and self.dispatcher.settings.workloads[index].degraded_value_share > 0:
            self.dispatcher.executor.send(executor_protocol.bypass(message.call, message.number))
        elif self.dispatcher.settings.interruption is not interface.Interruption.UNSUPPORTED:
            self.dispatcher.executor.send(executor_protocol.interrupt(message.call))

    def on_call_finished(self, now, message):
        """Pass the ledger's reply on to the executor, and the outcome to the controller."""
        pending = self.dispatcher.pending.get(message.number)
        if pending is None or pending.call_request is None or pending.attempt != message.attempt:
            self.dispatcher.count("ledger.reply_of_none")
            return
        if self.dispatcher.degradation is not None:
            self.dispatcher.degradation.record_call(now, message.outcome, message.duration)
        if message.outcome is interface.Outcome.DONE:
            self.send_reply(pending, executor_protocol.reply(pending.call_id, message.body))
        self.dispatcher.events.append(interface.CallEnded(message.number, message.outcome, message.duration))

    def send_reply(self, pending, line):
        """Send the reply to a call, and keep it until the executor is known to have it.

        A reply that may have arrived before a connection broke must not be taken for the reply to the run's
        next call. Where the workload allows, a bypass is sent in its place: it names the notice that it
        replies to, so it can't be.
        """
        fallback_line = (
            executor_protocol.bypass(pending.call_id, pending.call_request[0])
            if pending.workload_settings.degraded_value_share > 0
            else None
        )
        sent = self.dispatcher.executor.send(line)
        pending.reply, pending.call_request = (
            Reply(
                self.gauge_token,
                self.dispatcher.scheduler.clock(),
                line,
                fallback_line,
                sent,
                self.connection_count,
            ),
            None,
        )
        pending.attempt += 1

    def on_command_rejected(self, now, message):
        """End an execution whose start the executor rejects, and close the connection that it came on.

        The executor has never received the work that this start refers to: the submission is a forgery.
        """
        self.dispatcher.count("executor.bad." + message.command.lower())
        pending = self.dispatcher.by_call_id.get(message.call)
        if pending is not None and message.command == "EXEC" and pending.state not in UNSENT:
            connection = pending.connection
            self.end_execution(pending, interface.Outcome.MOOT, 0.0, None)
            connection.reject_connection("made up")

    def apply_start(self, now, action):
        """Start an execution, or notify the controller that it has ended already."""
        pending = self.dispatcher.pending.get(action.id)
        if pending is None or pending.answered or pending.state != NOT_RUNNING:
            if pending is None:  # ended already: the controller is notified that nothing was started
                self.dispatcher.put_later(
                    messages.DeferredEvent(interface.Ended(action.id, interface.Outcome.MOOT, 0.0))
                )
            return
        self.send_start(pending)

    def send_start(self, pending):
        """Send a start to the executor, or keep it until that is possible.

        With a result store, the intent to run deduplicated work is made durable first: `on_intent_durable`
        comes back to this.
        """
        if self.dispatcher.deduplication.log_intent_first(pending):
            pending.state = LOGGING_INTENT
            return
        sent = self.dispatcher.executor.send(
            executor_protocol.start(pending.call_id, pending.workload, pending.body)
        )
        pending.state, pending.may_have_run, pending.sent_token = (
            SENT if sent else AWAITING_EXECUTOR,
            pending.may_have_run or sent,
            self.gauge_token,
        )
        pending.sent_at = self.dispatcher.scheduler.clock()

    def apply_interrupt(self, now, action):
        """Interrupt an execution; one that was not sent yet ends at once."""
        pending = self.dispatcher.pending.get(action.id)
        if pending is None or pending.state == NOT_RUNNING:
            return
        if pending.state in (AWAITING_EXECUTOR, LOGGING_INTENT):  # never sent
            pending.state = NOT_RUNNING
            self.dispatcher.deduplication.never_started(pending)
            self.dispatcher.put_later(
                messages.DeferredEvent(interface.Ended(action.id, interface.Outcome.CANCELLED, 0.0))
            )
            if pending.answered:
                self.dispatcher.remove(pending)
            return
        pending.interrupting = True
        self.send_interrupt(pending)

    def send_interrupt(self, pending):
        """Send an interrupt, and keep the gauge token that proves later that it has arrived."""
        pending.interrupt_token = (
            self.gauge_token
            if self.dispatcher.executor.send(executor_protocol.interrupt(pending.call_id))
            else None
        )

    def apply_call(self, now, action):
        """Make the call that an execution waits for."""
        pending = self.dispatcher.pending.get(action.id)
        if pending is not None and pending.call_request is not None:
            pending.attempt += 1
            self.dispatcher.count("out.calls")
            self.dispatcher.ledger.call(
                pending.number, pending.attempt, pending.call_id, action.timeout, pending.call_request[1]
            )

    def apply_bypass_call(self, now, action):
        """Have an execution go on without its call, and cancel the call if it was made."""
        pending = self.dispatcher.pending.get(action.id)
        if pending is not None and pending.call_request is not None:
            self.dispatcher.count("out.without_call")
            self.dispatcher.ledger.cancel(pending.number)
            self.send_reply(pending, executor_protocol.bypass(pending.call_id, pending.call_request[0]))

    def on_intent_durable(self, number):
        """Send the start of a submission whose intent is on the disk."""
        pending = self.dispatcher.pending.get(number)
        if pending is not None and pending.state == LOGGING_INTENT:
            pending.intent_logged = True
            self.send_start(pending)

    def on_intent_lost(self, number):
        """Notify the controller that an intent can't be made durable: the submission is not started."""
        pending = self.dispatcher.pending.get(number)
        if pending is not None and pending.state == LOGGING_INTENT:
            pending.state = NOT_RUNNING
            self.dispatcher.events.append(interface.Ended(number, interface.Outcome.UNSTORED, 0.0))
            if pending.answered:
                self.dispatcher.remove(pending)
