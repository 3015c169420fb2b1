"""Messages about maintenance between servers, with their names on the wire.

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
    """The leader's instructions to a server; the values are their names on the wire."""

    CONTINUE = "stay"
    DRAIN = "out"
    START_MAINTENANCE = "work"
    RESTART = "back"
    ACKNOWLEDGE_RETURN = "returned"


class Response(NamedTuple):
    """The leader's answer to one report."""

    instruction: Instruction
    fencing_token: int  # of the grant that the instruction concerns; 0 where there is none


class Report(NamedTuple):
    """A server's report to the leader. The order of the fields is the order on the wire."""

    sent_at: float  # seconds of the sender's clock; the answer repeats it
    incarnation: int
    zone: str
    cores: float
    utilization: float  # share of the cores in use
    warmup: float  # share of full speed that the server has reached
    overloaded: bool
    answer_count: int  # requests that this incarnation has answered
    reported_state: int  # a `RecordState`: WAITING while it serves, DRAINING or DRAINED
    fencing_token: int  # of the grant under which it drains; 0 without one
