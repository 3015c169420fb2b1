"""The transitions of a maintenance record: a table of state, input, next state and effect. No I/O.

A record that a transition changes goes into the replicated log as a new entry.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .records import MaintenanceRecord, RecordRemoved, RecordState, RecordUpdated, ScheduleEntry


class ScheduleInput(IntEnum):
    """What can happen to a maintenance record."""

    SELECTED = 0  # it is the next to be granted
    DRAIN_STARTED = 1  # the server drains under this grant
    GRANT_EXPIRED = 2  # the server still serves, and the grant can't reach it any more
    DRAIN_COMPLETED = 3  # nothing is left to answer on the server
    MAINTENANCE_ALLOWED = 4
    CAPACITY_NEEDED = 5  # its maintenance has not begun, and the others can't do without it
    INCARNATION_ENDED = 6  # after its maintenance, while it warms up
    RESTARTED = 7  # a later incarnation of the server reports
    WARMUP_COMPLETED = 8  # that one is at full speed, and answers
    RETURN_OVERDUE = 9  # it has not come back within the duration of its maintenance
    CANCELLED = 10  # by an operator


class ScheduleEffect(IntEnum):
    """What a transition does to the record."""

    GRANT = 0
    ADVANCE = 1
    REQUEUE = 2
    RECORD_RETURN = 3
    MARK_OVERDUE = 4
    REMOVE = 5


class Transition(NamedTuple):
    """One entry of the table."""

    next_state: RecordState | None  # None ends the record
    effect: ScheduleEffect


STATES_BEFORE_MAINTENANCE = (RecordState.GRANTED, RecordState.DRAINING, RecordState.DRAINED)
"""A server in one of these has not been told that its maintenance may begin."""

TRANSITIONS = {
    (RecordState.WAITING, ScheduleInput.SELECTED): Transition(RecordState.GRANTED, ScheduleEffect.GRANT),
    (RecordState.WAITING, ScheduleInput.CANCELLED): Transition(None, ScheduleEffect.REMOVE),
    (RecordState.GRANTED, ScheduleInput.DRAIN_STARTED): Transition(
        RecordState.DRAINING, ScheduleEffect.ADVANCE
    ),
    (RecordState.GRANTED, ScheduleInput.GRANT_EXPIRED): Transition(
        RecordState.WAITING, ScheduleEffect.REQUEUE
    ),
    (RecordState.GRANTED, ScheduleInput.DRAIN_COMPLETED): Transition(
        RecordState.DRAINED, ScheduleEffect.ADVANCE
    ),
    (RecordState.DRAINING, ScheduleInput.DRAIN_COMPLETED): Transition(
        RecordState.DRAINED, ScheduleEffect.ADVANCE
    ),
    (RecordState.DRAINED, ScheduleInput.MAINTENANCE_ALLOWED): Transition(
        RecordState.IN_MAINTENANCE, ScheduleEffect.ADVANCE
    ),
    (RecordState.DRAINED, ScheduleInput.CAPACITY_NEEDED): Transition(
        RecordState.RETURNING, ScheduleEffect.ADVANCE
    ),
    (RecordState.DRAINED, ScheduleInput.CANCELLED): Transition(RecordState.RETURNING, ScheduleEffect.ADVANCE),
    # The server was lost before its maintenance was allowed: its place stays taken until it is back, and then
    # the request waits again.
    **{
        (state, ScheduleInput.RESTARTED): Transition(RecordState.WAITING, ScheduleEffect.REQUEUE)
        for state in STATES_BEFORE_MAINTENANCE
    },
    **{
        (state, ScheduleInput.RETURN_OVERDUE): Transition(state, ScheduleEffect.MARK_OVERDUE)
        for state in STATES_BEFORE_MAINTENANCE
    },
    (RecordState.IN_MAINTENANCE, ScheduleInput.RESTARTED): Transition(
        RecordState.WARMING_UP, ScheduleEffect.RECORD_RETURN
    ),
    # The server was only cut off by the network and never left.
    (RecordState.IN_MAINTENANCE, ScheduleInput.GRANT_EXPIRED): Transition(
        RecordState.WAITING, ScheduleEffect.REQUEUE
    ),
    (RecordState.IN_MAINTENANCE, ScheduleInput.RETURN_OVERDUE): Transition(
        RecordState.IN_MAINTENANCE, ScheduleEffect.MARK_OVERDUE
    ),
    (RecordState.RETURNING, ScheduleInput.RESTARTED): Transition(
        RecordState.WARMING_UP, ScheduleEffect.RECORD_RETURN
    ),
    (RecordState.RETURNING, ScheduleInput.RETURN_OVERDUE): Transition(
        RecordState.RETURNING, ScheduleEffect.MARK_OVERDUE
    ),
    (RecordState.WARMING_UP, ScheduleInput.WARMUP_COMPLETED): Transition(None, ScheduleEffect.REMOVE),
    (RecordState.WARMING_UP, ScheduleInput.INCARNATION_ENDED): Transition(
        RecordState.IN_MAINTENANCE, ScheduleEffect.ADVANCE
    ),
}
"""A pair that is missing changes nothing."""


def step(
    record: MaintenanceRecord, received: ScheduleInput, incarnation: int | None, keep_missing: bool
) -> list[ScheduleEntry]:
    """Return the log entries of the table's transition for one input; none where nothing changes.

    Args:
        record: The record, as committed.
        received: What happened to it.
        incarnation: The server's present incarnation, if it is known.
        keep_missing: Whether the record of a server that does not return in time is kept.
    """
    transition = TRANSITIONS.get((record.state, received))
    if transition is None:
        return []
    effect = transition.effect
    state = transition.next_state
    if state is None or (effect is ScheduleEffect.MARK_OVERDUE and not keep_missing):
        return [RecordRemoved(record.server)]
    return [RecordUpdated(_apply(record._replace(state=state), effect, incarnation or 0))]


def _apply(record: MaintenanceRecord, effect: ScheduleEffect, incarnation: int) -> MaintenanceRecord:
    if effect is ScheduleEffect.GRANT:
        return record._replace(incarnation=incarnation, bypass_count=0, overdue=False)
    if effect is ScheduleEffect.REQUEUE:
        return record._replace(fencing_token=0, incarnation=0, overdue=False)
    if effect is ScheduleEffect.RECORD_RETURN:
        return record._replace(incarnation=incarnation, overdue=False)
    return record._replace(overdue=effect is ScheduleEffect.MARK_OVERDUE)
