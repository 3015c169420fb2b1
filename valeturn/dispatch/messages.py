"""What the tasks put into the owner's queue, beside the protocol's own values."""

from __future__ import annotations

from typing import NamedTuple

from ..admission.interface import Outcome
from ..protocol.submitted import Submitted


class Arrival(NamedTuple):
    connection: object
    submission: Submitted


class Withdrawal(NamedTuple):
    connection: object
    stream: int


class ConnectionEnded(NamedTuple):
    connection: object
    streams: frozenset  # that were open on it


class Check(NamedTuple):
    connection: object
    stream: int
    deep: bool


class LinkUp(NamedTuple):
    cold: bool
    age: float


class LinkDown(NamedTuple):
    arrived: float  # all commands that were sent before this moment are known to have arrived


class Doubt(NamedTuple):
    """It is time to find out whether a run that may have been lost with a link ever began."""

    number: int


class NoticesMissed(NamedTuple):
    """The executor no longer keeps some that were not read."""


class DiskNews(NamedTuple):
    """The store's helper has done something."""


class CallOver(NamedTuple):
    number: int  # of the submission
    attempt: int
    outcome: Outcome
    took: float
    body: bytes


class Told(NamedTuple):
    """What a turn found out and the module is to hear in the next one."""

    event: object


class Leaving(NamedTuple):
    left: float


class Stopping(NamedTuple):
    """All that is still owed gets its answer now."""
