"""What the tasks put into the owner's queue, beside the protocol's own values."""

from __future__ import annotations

from typing import NamedTuple

from ..admission.interface import Outcome
from ..protocol.submission import Submission


class SubmissionReceived(NamedTuple):
    connection: object
    submission: Submission


class SubmissionCancelled(NamedTuple):
    connection: object
    stream: int


class ConnectionClosed(NamedTuple):
    connection: object
    streams: frozenset  # that were open on it


class HealthCheckRequested(NamedTuple):
    connection: object
    stream: int
    deep: bool


class ExecutorConnected(NamedTuple):
    cold: bool
    age: float


class ExecutorDisconnected(NamedTuple):
    arrived: float  # all commands that were sent before this moment are known to have arrived


class InDoubtCheckDue(NamedTuple):
    """It is time to find out whether a run that may have been lost with a link ever began."""

    number: int


class NoticesLost(NamedTuple):
    """The executor no longer keeps some that were not read."""


class StoreProgressed(NamedTuple):
    """The store's helper has done something."""


class CallFinished(NamedTuple):
    number: int  # of the submission
    attempt: int
    outcome: Outcome
    duration: float
    body: bytes


class DeferredEvent(NamedTuple):
    """What a turn found out and the module is to hear in the next one."""

    event: object


class DrainRequested(NamedTuple):
    time_left: float


class StopRequested(NamedTuple):
    """All that is still owed gets its answer now."""
