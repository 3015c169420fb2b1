"""A submission as the routing keeps it: what carrying out needs, and how far its run and its call have
come."""

from __future__ import annotations

from typing import NamedTuple

# How far a run has come: not asked for; its intent on the way to the disk; wanted while there is no link;
# sent, and not yet known to have reached the executor; known to. DOUBTED: sent on a link that broke, and must
# not run twice.
IDLE, NOTED, WANTED, SENT, REACHED, DOUBTED = range(6)
UNSENT = (IDLE, NOTED, WANTED)  # the executor has heard nothing of it


class PendingRequest:
    """A submission that is owed an answer, runs, or both."""

    __slots__ = (
        "answered",
        "attempt",
        "body",
        "call",
        "connection",
        "digest",
        "halted",
        "halting",
        "hint",
        "key",
        "lasting_to",
        "meets",
        "notice",
        "noted",
        "number",
        "probed",
        "ran",
        "repeats",
        "reply",
        "run",
        "sent_at",
        "sent_mark",
        "since",
        "stream",
        "tenant",
        "unheard",
        "w",
        "workload",
    )

    def __init__(self, since, number, connection, stream, call, workload, w, body, key, hint, tenant=None):
        self.number, self.connection, self.stream, self.call = number, connection, stream, call
        self.workload, self.w, self.body, self.key, self.since = workload, w, body, key, since
        self.hint, self.answered, self.run, self.ran, self.tenant = hint, False, IDLE, False, tenant
        self.sent_mark, self.sent_at = 0, 0.0
        self.halting, self.halted = False, None  # asked to stop; the gauges' mark when that was sent
        self.probed = False  # told to stop only to find out whether it runs
        self.unheard = False  # its end may be among missed notices: that none is told proves nothing
        self.notice, self.reply, self.attempt = None, None, 0  # the call: wanted, replied, its count
        self.repeats = None
        # In the store, where there is one: its key there, what a repeat met, whether its intent is durable,
        # and until when, by the owner's clock, repeats are told apart.
        self.digest, self.meets, self.noted, self.lasting_to = None, None, False, 0.0


class Reply(NamedTuple):
    """What was sent for a call, kept until the executor is known to have it."""

    mark: int  # the gauges asked for last before it
    at: float
    line: bytes
    instead: bytes | None  # what says the same and can't meet the run's next call
    sent: bool
    link: int  # the number of the link it was sent on
