"""Messages that tasks put into the dispatcher's queue, beside the values of `protocol`.

Times and durations are in seconds.
"""

from __future__ import annotations

from typing import NamedTuple

from ..admission.interface import Outcome
from ..protocol.submission import Submission


class SubmissionReceived(NamedTuple):
    """A gateway sent a submission."""

    connection: object
    submission: Submission


class SubmissionCancelled(NamedTuple):
    """A gateway withdrew a submission: its caller no longer waits for the answer."""

    connection: object
    stream: int


class ConnectionClosed(NamedTuple):
    """A gateway connection ended; no caller waits any longer for what was open on it."""

    connection: object
    streams: frozenset  # numbers of the streams that were open on it


class HealthCheckRequested(NamedTuple):
    """A gateway asks whether this server is healthy."""

    connection: object
    stream: int
    deep: bool  # whether the executor is to be asked as well


class ExecutorConnected(NamedTuple):
    """The executor accepted the connection."""

    cold: bool  # whether the executor was started cold
    age: float  # seconds since the executor started


class ExecutorDisconnected(NamedTuple):
    """The connection to the executor broke."""

    arrived: float  # all commands that were sent before this moment are known to have arrived


class InDoubtCheckDue(NamedTuple):
    """It is time to find out whether an execution that may have been lost with a connection ever began."""

    number: int  # of the submission


class NoticesLost(NamedTuple):
    """The executor no longer holds some notices that were not read."""


class StoreProgressed(NamedTuple):
    """The worker thread of the result store finished some work."""


class CallFinished(NamedTuple):
    """A call to the ledger ended."""

    number: int  # of the submission
    attempt: int  # as given to `LedgerClient.call`
    outcome: Outcome  # how the call ended
    duration: float  # seconds
    body: bytes  # the ledger's reply, empty unless the call succeeded


class DeferredEvent(NamedTuple):
    """An event for the admission controller in the next turn, from a turn or from another task."""

    event: object


class DrainRequested(NamedTuple):
    """The server is about to stop."""

    time_left: float  # seconds until the process ends


class StopRequested(NamedTuple):
    """The process ends in a moment: all submissions that have no answer yet get one now."""
