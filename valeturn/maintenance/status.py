"""Build the part of `valeturn status` that shows maintenance.

Operators' scripts read the keys; they must not change.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from .drain_schedule import DrainSchedule
from .local_drain import STATE_TEXTS as LOCAL_STATE_TEXTS
from .local_drain import LocalDrain
from .records import STATE_TEXTS, MaintenanceRecord


def maintenance_status(
    now: float,
    records: Sequence[MaintenanceRecord],
    schedule: DrainSchedule | None,
    local_drain: LocalDrain,
    leader: str | None,
    paused: bool,
) -> dict[str, Any]:
    """Return the status as a JSON object.

    Args:
        now: The current time of this server's clock, in seconds.
        records: All committed records.
        schedule: The schedule, where this server leads; only it has the reasons and times.
        local_drain: This server's drain.
        leader: The leader's name, or None where it is not known here.
        paused: Whether an operator has paused grants.
    """
    ordered = sorted(records, key=lambda record: record.sequence_number)
    return {
        "held": paused,
        "owner": leader,
        "here": LOCAL_STATE_TEXTS[local_drain.state],
        "refused": local_drain.rejected_count,
        "rows": [_record_status(now, record, schedule) for record in ordered],
    }


def _record_status(now: float, record: MaintenanceRecord, schedule: DrainSchedule | None) -> dict[str, Any]:
    observed = None if schedule is None else schedule.observed_states.get(record.server)
    wait_reason = "" if schedule is None else schedule.wait_reasons.get(record.server, "")
    return {
        "server": record.server,
        "state": STATE_TEXTS[record.state],
        "for": record.reason,
        "urgent": record.urgent,
        "late": record.overdue,
        "unwanted": record.cancelled,
        "fence": record.fencing_token,
        "work_s": record.work_duration,
        "why": wait_reason,
        "for_s": None if observed is None else round(now - observed.since, 1),
    }
