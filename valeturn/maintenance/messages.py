"""Messages about maintenance between servers, with the words that they have on the wire.

The values in this module are bytes that other versions of the program read and write; they must not change.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

REPORT_KIND = "turn-report"
"""A server reports its state to the leader."""
RESPONSE_KIND = "turn-word"
"""The leader answers a report."""
REQUEST_KIND = "turn-ask"
"""An operator requests maintenance of servers."""
CANCEL_KIND = "turn-back"
"""An operator cancels maintenance requests."""
PAUSE_KIND = "turn-hold"
"""An operator pauses or resumes the granting of maintenance."""


class Instruction(StrEnum):
    """What the leader instructs a server to do, as it stands on the wire."""

    CONTINUE = "stay"
    DRAIN = "out"
    START_MAINTENANCE = "work"
    RESTART = "back"
    ACKNOWLEDGE_RETURN = "returned"


class Response(NamedTuple):
    """The leader's answer to one report."""

    instruction: Instruction
    fencing_token: int  # of the grant that it is about; 0 where there is none


class Report(NamedTuple):
    """A server's report to the leader. The order of the fields is the order on the wire."""

    sent_at: float  # s of the sender's clock; the answer carries it back
    incarnation: int
    zone: str
    cores: float
    utilization: float  # share of the cores that is in use
    warmup: float  # share of its full speed that the server has reached
    overloaded: bool
    answer_count: int
    reported_state: int  # a `RecordState`: WAITING while it serves, DRAINING or DRAINED
    fencing_token: int
