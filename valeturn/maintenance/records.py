"""Maintenance requests in the replicated log, and the log entries that change them.

The order of a record's fields and the first word of each entry are part of the formats on disk and on the
wire and must not change. `cluster/raft.py` reads a record's state and fencing token by their positions.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NamedTuple

from ..errors import ValeturnError

LogEntry = tuple[Any, ...]
"""An entry of the cluster's log: its kind and its fields."""

RECORD_ENTRY = "turn"
REMOVAL_ENTRY = "turned"
PAUSE_ENTRY = "hold"


class InvalidRecordError(ValeturnError, ValueError):
    """A maintenance record has a state that does not exist.

    It is a `ValueError` too: the cluster's node counts those as malformed fields of a message.
    """

    def __init__(self, state: int) -> None:
        """Store the invalid number."""
        super().__init__(state)
        self.state = state


class RecordState(IntEnum):
    """The states of a maintenance request; in all but WAITING the server counts as unavailable.

    The numbers are stored in the replicated log.
    """

    WAITING = 0
    GRANTED = 1
    DRAINING = 2
    DRAINED = 3
    IN_MAINTENANCE = 4
    RETURNING = 5  # returns without its maintenance
    WARMING_UP = 6


STATE_TEXTS = {
    RecordState.WAITING: "waits",
    RecordState.GRANTED: "granted",
    RecordState.DRAINING: "draining",
    RecordState.DRAINED: "empty",
    RecordState.IN_MAINTENANCE: "in work",
    RecordState.RETURNING: "coming back",
    RecordState.WARMING_UP: "warming",
}
"""The states as `valeturn status` prints them."""


class MaintenanceRecord(NamedTuple):
    """One maintenance request of the replicated log. The order of the fields is the order in the log."""

    server: str
    sequence_number: int  # increases in the order of the requests
    reason: str
    urgent: bool
    work_duration: float  # seconds that the maintenance may take after the drain
    state: RecordState = RecordState.WAITING
    fencing_token: int = 0  # of the grant; 0 without one
    incarnation: int = 0  # the server's incarnation at the grant; in WARMING_UP, that which returned
    bypass_count: int = 0  # number of requests granted before it out of order
    overdue: bool = False
    cancelled: bool = False  # after a grant: the server returns without its maintenance

    def encode(self) -> list[Any]:
        """Return the fields as they are stored in the log and sent in messages."""
        fields: list[Any] = list(self)
        fields[5] = int(self.state)
        return fields


def decode_record(fields: Sequence[Any]) -> MaintenanceRecord:
    """Return the record from the fields that `MaintenanceRecord.encode` returned.

    Raises:
        InvalidRecordError: The state does not exist.
        TypeError: A field has the wrong type.
        ValueError: The number of fields is wrong, or one can't be converted.
    """
    (
        server,
        sequence_number,
        reason,
        urgent,
        work_duration,
        state,
        fencing_token,
        incarnation,
        bypass_count,
        overdue,
        cancelled,
    ) = fields
    if not 0 <= int(state) < len(RecordState):
        raise InvalidRecordError(state)
    return MaintenanceRecord(
        str(server),
        int(sequence_number),
        str(reason),
        bool(urgent),
        float(work_duration),
        RecordState(int(state)),
        int(fencing_token),
        int(incarnation),
        int(bypass_count),
        bool(overdue),
        bool(cancelled),
    )


class RecordUpdated(NamedTuple):
    """The log entry that adds a record or replaces the one of the same server."""

    record: MaintenanceRecord

    def encode(self) -> LogEntry:
        """Return the entry as the log has it."""
        return RECORD_ENTRY, self.record.encode()


class RecordRemoved(NamedTuple):
    """The log entry that ends a server's maintenance request."""

    server: str

    def encode(self) -> LogEntry:
        """Return the entry as the log has it."""
        return REMOVAL_ENTRY, self.server


class GrantsPaused(NamedTuple):
    """The log entry by which an operator pauses or resumes the granting of maintenance."""

    paused: bool

    def encode(self) -> LogEntry:
        """Return the entry as the log has it."""
        return PAUSE_ENTRY, self.paused


ScheduleEntry = RecordUpdated | RecordRemoved
"""An entry that the drain schedule proposes."""
