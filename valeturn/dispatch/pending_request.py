"""A pending submission: what is needed to carry it out, and how far its execution and its call have come."""

from __future__ import annotations

from typing import NamedTuple

# States of an execution:
#   NOT_RUNNING        not started, or interrupted
#   LOGGING_INTENT     to be started; its intent is on the way to the disk
#   AWAITING_EXECUTOR  to be started; there is no connection to the executor
#   SENT               the start was sent and is not yet known to have reached the executor
#   RECEIVED           the start is known to have reached the executor
#   IN_DOUBT           sent on a connection that broke, and must not run twice
NOT_RUNNING, LOGGING_INTENT, AWAITING_EXECUTOR, SENT, RECEIVED, IN_DOUBT = range(6)
UNSENT = (NOT_RUNNING, LOGGING_INTENT, AWAITING_EXECUTOR)  # the executor holds no start of it


class PendingRequest:
    """A submission that needs an answer, is being executed, or both."""

    __slots__ = (
        "answered",
        "attempt",
        "body",
        "call_id",
        "call_request",
        "connection",
        "cost_hint",
        "duplicate_of",
        "end_may_be_lost",
        "has_begun",
        "intent_logged",
        "interrupt_token",
        "interrupting",
        "key",
        "key_digest",
        "key_valid_until",
        "may_have_run",
        "number",
        "probed",
        "received_at",
        "reply",
        "sent_at",
        "sent_token",
        "state",
        "stored",
        "stream",
        "tenant",
        "workload",
        "workload_settings",
    )

    def __init__(
        self,
        received_at,
        number,
        connection,
        stream,
        call_id,
        workload,
        workload_settings,
        body,
        key,
        cost_hint,
        tenant=None,
    ):
        """Keep a new submission that is neither answered nor running.

        Args:
            received_at: When the dispatcher took it up, in seconds of the scheduler's clock.
            number: Its number in this process.
            connection: The gateway connection that it came on.
            stream: Its stream on that connection.
            call_id: The id that the submission bears: 16 hexadecimal digits.
            workload: The name of its workload.
            workload_settings: The `interface.Workload` of that name.
            body: What the executor is given.
            key: What duplicates of it have in common, or None where they are not recognised.
            cost_hint: The work that its gateway expects it to take, in seconds, or None.
            tenant: The name of its tenant.
        """
        self.number, self.connection, self.stream, self.call_id = number, connection, stream, call_id
        self.workload, self.workload_settings, self.body, self.key, self.received_at = (
            workload,
            workload_settings,
            body,
            key,
            received_at,
        )
        self.cost_hint, self.answered, self.state, self.may_have_run, self.tenant = (
            cost_hint,
            False,
            NOT_RUNNING,
            False,
            tenant,
        )
        self.sent_token, self.sent_at = 0, 0.0  # the last gauge token, and the time, when the start was sent
        # Whether an interrupt is wanted; the last gauge token when it was sent, or None.
        self.interrupting, self.interrupt_token = False, None
        self.probed = False  # interrupted only to find out whether it runs
        # Its end may be among notices that were lost, so that the lack of one proves nothing.
        self.end_may_be_lost = False
        self.has_begun = False  # the executor has reported that an execution of it ended or made a call
        # The call to the ledger: (notice number, body) of the executor's request, the Reply sent, and a
        # number that tells results of earlier calls from the current one's.
        self.call_request, self.reply, self.attempt = None, None, 0
        self.duplicate_of = None  # the number of the submission that this one duplicates
        # With a result store: the digest of its key there, the look-up's result for a duplicate, whether its
        # intent is durable, and until when, by the dispatcher's clock, its duplicates are recognised.
        self.key_digest, self.stored, self.intent_logged, self.key_valid_until = None, None, False, 0.0


class Reply(NamedTuple):
    """The answer to a run's call, kept until the executor is known to have it."""

    gauge_token: int  # the last gauge token issued before it was sent
    sent_at: float  # in seconds of the scheduler's clock
    line: bytes
    fallback_line: bytes | None  # the same by a command that can't be taken for the run's next call's reply
    sent: bool  # whether there was a connection to send it on
    connection_number: int  # the number of that connection
