"""The transitions of a maintenance record: a table of state, input, next state and effect. No I/O.

Each transition is proposed to the replicated log as an entry with the new record.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .records import MaintenanceRecord, RecordRemoved, RecordState, RecordUpdated, ScheduleEntry


class ScheduleInput(IntEnum):
    """The inputs of a maintenance record."""

    SELECTED = 0  # the request is the next to be granted
    DRAIN_STARTED = 1  # the server drains under this grant
    GRANT_EXPIRED = 2  # the server still serves, and no valid grant can still reach it
    DRAIN_COMPLETED = 3  # the server has no unanswered requests left
    MAINTENANCE_ALLOWED = 4  # the drained server may begin its maintenance
    CAPACITY_NEEDED = 5  # its maintenance has not begun, and the others lack capacity without it
    INCARNATION_ENDED = 6  # the returned server's process ended while it warmed up
    RESTARTED = 7  # a later incarnation of the server reports
    WARMUP_COMPLETED = 8  # the returned server is at full speed and answers requests
    RETURN_OVERDUE = 9  # the server has not returned within the duration of its maintenance
    CANCELLED = 10  # an operator cancelled the request


class ScheduleEffect(IntEnum):
    """The change that a transition makes to the record."""

    GRANT = 0
    ADVANCE = 1
    REQUEUE = 2
    RECORD_RETURN = 3
    MARK_OVERDUE = 4
    REMOVE = 5


class Transition(NamedTuple):
    """One entry of the table."""

    next_state: RecordState | None  # None removes the record
    effect: ScheduleEffect


STATES_BEFORE_MAINTENANCE = (RecordState.GRANTED, RecordState.DRAINING, RecordState.DRAINED)
"""States in which the server has not been instructed to begin its maintenance."""

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
    # The server ended before its maintenance was allowed: it counts as unavailable until it returns; then
    # its request waits again.
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
    # The server was only unreachable over the network and never stopped serving.
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
"""Pairs that are not listed change nothing."""


def step(
    record: MaintenanceRecord, received: ScheduleInput, incarnation: int | None, keep_missing: bool
) -> list[ScheduleEntry]:
    """Return the log entries for one input's transition; none where nothing changes.

    Args:
        record: The committed record.
        received: The input.
        incarnation: The server's current incarnation, if it is known.
        keep_missing: Whether the record of a server that does not return in time is marked as overdue;
            otherwise it is removed.
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
