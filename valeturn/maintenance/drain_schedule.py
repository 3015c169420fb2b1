"""Decide at the cluster's leader which server goes into maintenance next; no I/O.

The records are in the replicated log, so that they survive a change of the leader. The servers' reports are
not: a new leader makes no decision before enough servers have reported. Each committed entry makes one
transition of a record, according to the table in `record_transitions`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .messages import Instruction, Response
from .record_transitions import ScheduleInput, step
from .records import STATE_TEXTS, MaintenanceRecord, RecordState, RecordUpdated, ScheduleEntry
from .server_view import ServerView, capacity_without, majority_reports, overloaded_servers, total_load

Views = Mapping[str, ServerView]

BYPASS_LIMIT = 8
"""Grants that may bypass a waiting request; after that it precedes all others, also urgent ones."""
REPORT_LIFETIME_LEASES = 4.0
"""Leases after which a report is stale: at two reports per lease, several may be lost before that."""
SPARE_SHARE_TO_KEEP = 0.5
"""Share of the spare capacity that must still be free for a drained server's maintenance to begin."""
NAMES_IN_REASON = 3
"""Maximum servers named in a reason for waiting."""


INSTRUCTIONS_WHEN_DRAINED = {
    RecordState.IN_MAINTENANCE: Instruction.START_MAINTENANCE,
    RecordState.RETURNING: Instruction.RESTART,
}
"""The instruction to a server that reports itself drained, by the state of its record."""


class MaintenanceLimits(NamedTuple):
    """The operator's limits, from the section [turns] of the operator's file."""

    max_unavailable: int  # servers that may be unavailable at once
    max_unavailable_share: float  # the same as a share of all known servers; one server is always allowed
    single_zone: bool  # only servers of one zone at a time
    spare_capacity_share: float  # share of the cores in service that has to stay free
    min_answer_count: int  # requests that a returned server has to answer before it counts as proved
    idle_proof_time: float  # seconds after which a returned server counts as proved without answers
    keep_missing: bool  # whether a server that does not return keeps counting as unavailable


class ObservedState(NamedTuple):
    """A record's state, and when this leader first observed it."""

    state: RecordState
    since: float  # seconds


class DrainSchedule:
    """The leader's schedule of all maintenance requests.

    A leader creates a new one when it is elected. Times are seconds of the leader's monotonic clock.
    """

    def __init__(self, limits: MaintenanceLimits, lease: float, response_validity: float, now: float) -> None:
        """Start without earlier reports.

        Args:
            limits: The operator's limits.
            lease: The leader's lease, in seconds.
            response_validity: Seconds within which a server may act on an answer to its report.
            now: The current time, at which this leader was elected.
        """
        self.limits = limits
        self.lease = lease
        self.response_validity = response_validity
        self.leader_since = now
        self.observed_states: dict[str, ObservedState] = {}  # by server
        self.wait_reasons: dict[str, str] = {}  # by server, as text for the operator
        self.grant_sent_at: dict[str, float] = {}  # by server: when the grant was last sent to it

    # ---- availability

    def reporting_servers(self, now: float, views: Views) -> dict[str, ServerView]:
        """Return the servers that are alive and whose last report is not stale."""
        return {name: view for name, view in views.items() if view.alive and self._is_fresh(now, view)}

    def _is_fresh(self, now: float, view: ServerView) -> bool:
        return now - view.reported_at <= REPORT_LIFETIME_LEASES * self.lease

    def unavailable_servers(self, records: Sequence[MaintenanceRecord], views: Views) -> set[str]:
        """Return the names of servers that are unavailable by a request, or not alive."""
        by_request = {record.server for record in records if record.state != RecordState.WAITING}
        return by_request | {name for name, view in views.items() if not view.alive}

    def unavailable_limit(self, views: Views) -> int:
        """Return how many servers may be unavailable at once; at least one."""
        by_share = math.floor(self.limits.max_unavailable_share * len(views))
        return max(1, min(self.limits.max_unavailable, by_share))

    # ---- planning

    def plan(
        self, now: float, records: Sequence[MaintenanceRecord], views: Views, paused: bool
    ) -> list[ScheduleEntry]:
        """Return the log entries to propose.

        Args:
            now: The current time.
            records: All committed records.
            views: All expected servers by name.
            paused: Whether an operator has paused grants.
        """
        entries: list[ScheduleEntry] = []
        reporting = self.reporting_servers(now, views)
        requested = {record.server for record in records}
        self.observed_states = {
            name: observed for name, observed in self.observed_states.items() if name in requested
        }
        for record in records:
            self._observe(now, record)
            view = views.get(record.server)
            received = self._input_for(now, record, view, records, views)
            if received is not None:
                entries += self.step(record, received, None if view is None else view.incarnation)
        if not entries:  # grant only without uncommitted entries, as they may make a server unavailable
            entries += self._grant_next(now, records, views, reporting, paused)
        return entries

    def _observe(self, now: float, record: MaintenanceRecord) -> None:
        observed = self.observed_states.get(record.server)
        if observed is None or observed.state != record.state:
            self.observed_states[record.server] = ObservedState(record.state, now)

    def _input_for(
        self,
        now: float,
        record: MaintenanceRecord,
        view: ServerView | None,
        records: Sequence[MaintenanceRecord],
        views: Views,
    ) -> ScheduleInput | None:
        """Return the input that applies to a record now, or None."""
        if record.state == RecordState.WAITING:
            return ScheduleInput.CANCELLED if record.cancelled else None
        if record.state in (RecordState.IN_MAINTENANCE, RecordState.RETURNING):
            return self._input_while_away(now, record, view)
        if record.state == RecordState.WARMING_UP:
            return self._input_while_warming_up(now, record, view)
        if view is None or not view.alive or view.incarnation > record.incarnation:
            return self._input_when_lost(now, record, view)
        return self._input_before_maintenance(now, record, view, records, views)

    def _input_before_maintenance(
        self,
        now: float,
        record: MaintenanceRecord,
        view: ServerView,
        records: Sequence[MaintenanceRecord],
        views: Views,
    ) -> ScheduleInput | None:
        if view.reported_state == RecordState.DRAINED and view.fencing_token == record.fencing_token:
            if record.state == RecordState.DRAINED:
                return self._input_when_drained(now, record, records, views)
            return ScheduleInput.DRAIN_COMPLETED
        if record.state == RecordState.GRANTED:
            return self._input_when_granted(now, record, view)
        return None

    def _input_while_away(
        self, now: float, record: MaintenanceRecord, view: ServerView | None
    ) -> ScheduleInput | None:
        if view is not None and view.alive and self._is_fresh(now, view):
            if view.incarnation > record.incarnation:
                return ScheduleInput.RESTARTED
            if view.reported_state == RecordState.WAITING and self._grant_is_expired(record, view):
                return ScheduleInput.GRANT_EXPIRED
        return self._input_if_overdue(now, record)

    def _input_when_lost(
        self, now: float, record: MaintenanceRecord, view: ServerView | None
    ) -> ScheduleInput | None:
        """Return the input for a server that ended before its maintenance was allowed, or None."""
        if view is not None and view.alive and self._is_fresh(now, view):
            return ScheduleInput.RESTARTED
        return self._input_if_overdue(now, record)

    def _input_if_overdue(self, now: float, record: MaintenanceRecord) -> ScheduleInput | None:
        overdue = now - self.observed_states[record.server].since > record.work_duration
        return ScheduleInput.RETURN_OVERDUE if overdue and not record.overdue else None

    def _input_while_warming_up(
        self, now: float, record: MaintenanceRecord, view: ServerView | None
    ) -> ScheduleInput | None:
        if view is None or not view.alive or view.incarnation > record.incarnation:
            return ScheduleInput.INCARNATION_ENDED
        idle_time = now - self.observed_states[record.server].since
        proved = view.answer_count >= self.limits.min_answer_count or idle_time >= self.limits.idle_proof_time
        if self._is_fresh(now, view) and view.warmup >= 1.0 and proved and not view.overloaded:
            return ScheduleInput.WARMUP_COMPLETED
        return None

    def _input_when_granted(
        self, now: float, record: MaintenanceRecord, view: ServerView
    ) -> ScheduleInput | None:
        if view.reported_state == RecordState.DRAINING and view.fencing_token == record.fencing_token:
            return ScheduleInput.DRAIN_STARTED
        if self._is_fresh(now, view) and self._grant_is_expired(record, view):
            return ScheduleInput.GRANT_EXPIRED
        return None

    def _input_when_drained(
        self, now: float, record: MaintenanceRecord, records: Sequence[MaintenanceRecord], views: Views
    ) -> ScheduleInput:
        if record.cancelled:
            return ScheduleInput.CANCELLED
        reporting = self.reporting_servers(now, views)
        if overloaded_servers(reporting) or not majority_reports(reporting, views):
            return ScheduleInput.CAPACITY_NEEDED
        capacity = capacity_without(reporting, self.unavailable_servers(records, views))
        usable = capacity * (1 - SPARE_SHARE_TO_KEEP * self.limits.spare_capacity_share)
        if total_load(reporting) > usable:
            return ScheduleInput.CAPACITY_NEEDED
        return ScheduleInput.MAINTENANCE_ALLOWED

    def _grant_is_expired(self, record: MaintenanceRecord, view: ServerView) -> bool:
        """Return whether the server reported after the last answer that a leader sent it had expired."""
        granted_at = self.grant_sent_at.get(record.server, -math.inf)
        last_sent_at = max(granted_at, self.leader_since, self.observed_states[record.server].since)
        return view.reported_at > last_sent_at + self.response_validity

    # ---- grants

    def _grant_next(
        self,
        now: float,
        records: Sequence[MaintenanceRecord],
        views: Views,
        reporting: Views,
        paused: bool,
    ) -> list[ScheduleEntry]:
        """Return the entries of at most one grant, and those that count it as a bypass of other requests."""
        waiting = [
            record for record in records if record.state == RecordState.WAITING and not record.cancelled
        ]
        waiting.sort(
            key=lambda record: (
                record.bypass_count < BYPASS_LIMIT,
                not record.urgent,
                record.sequence_number,
            )
        )
        self.wait_reasons = {}
        bypassed: list[MaintenanceRecord] = []
        for position, record in enumerate(waiting):
            reason = self._wait_reason(now, record, records, views, reporting, paused)
            if reason is None and bypassed and bypassed[0].bypass_count >= BYPASS_LIMIT:
                reason = f"waits for {bypassed[0].server}, which was passed {BYPASS_LIMIT} times"
            if reason is not None:
                self.wait_reasons[record.server] = reason
                bypassed.append(record)
                continue
            for later in waiting[position + 1 :]:
                self.wait_reasons[later.server] = f"waits for {record.server}, which goes first"
            entries = self.step(record, ScheduleInput.SELECTED, views[record.server].incarnation)
            for other in bypassed:
                entries.append(RecordUpdated(other._replace(bypass_count=other.bypass_count + 1)))
            return entries
        return []

    def _wait_reason(
        self,
        now: float,
        record: MaintenanceRecord,
        records: Sequence[MaintenanceRecord],
        views: Views,
        reporting: Views,
        paused: bool,
    ) -> str | None:
        """Return the reason, for the operator, why a request has to wait; None where it may be granted."""
        if paused:
            return "turns are held by an operator"
        view = views.get(record.server)
        if view is None or not view.alive:
            return "it is not there"
        if record.server not in reporting:
            return "it has not reported"
        unavailable = self.unavailable_servers(records, views)
        others = sorted(unavailable - {record.server})
        return (
            self._health_reason(reporting, views)
            or self._count_reason(now, others, records, views)
            or self._zone_reason(view, others, views)
            or self._capacity_reason(reporting, unavailable | {record.server})
        )

    @staticmethod
    def _health_reason(reporting: Views, views: Views) -> str | None:
        if not majority_reports(reporting, views):
            return "too few servers report"
        overloaded = overloaded_servers(reporting)
        if overloaded:
            return "the fleet is under strain: " + ", ".join(overloaded[:NAMES_IN_REASON])
        return None

    def _count_reason(
        self, now: float, others: Sequence[str], records: Sequence[MaintenanceRecord], views: Views
    ) -> str | None:
        if len(others) < self.unavailable_limit(views):
            return None
        described = [self._describe_unavailable(now, name, records) for name in others[:NAMES_IN_REASON]]
        return "waits for " + ", ".join(described)

    def _zone_reason(self, view: ServerView, others: Sequence[str], views: Views) -> str | None:
        if not self.limits.single_zone or view.zone == "-":
            return None
        other_zones = {views[name].zone for name in others if name in views} - {view.zone}
        return f"waits for zone {', '.join(sorted(other_zones))}" if other_zones else None

    def _capacity_reason(self, reporting: Views, unavailable: set[str]) -> str | None:
        load = total_load(reporting)
        capacity = capacity_without(reporting, unavailable)
        if load > (1 - self.limits.spare_capacity_share) * capacity:
            return f"its cores are needed: {load:.1f} in use, {capacity:.1f} left without it"
        return None

    def _describe_unavailable(self, now: float, name: str, records: Sequence[MaintenanceRecord]) -> str:
        for record in records:
            if record.server == name and record.state != RecordState.WAITING:
                observed = self.observed_states.get(name)
                seconds = 0.0 if observed is None else now - observed.since
                return f"{name}, {STATE_TEXTS[record.state]} for {seconds:.0f} s"
        return f"{name}, which was lost"

    def step(
        self, record: MaintenanceRecord, received: ScheduleInput, incarnation: int | None = None
    ) -> list[ScheduleEntry]:
        """Return the log entries for one input; see `record_transitions.step`."""
        return step(record, received, incarnation, self.limits.keep_missing)

    # ---- answers to reports

    def response_to(self, now: float, record: MaintenanceRecord | None, view: ServerView) -> Response:
        """Return the answer to a server's report, and record when a grant was sent."""
        if record is None or record.state == RecordState.WAITING:
            return Response(Instruction.CONTINUE, 0)
        if record.state == RecordState.WARMING_UP and view.incarnation >= record.incarnation:
            return Response(Instruction.ACKNOWLEDGE_RETURN, record.fencing_token)
        withdrawn = record.state == RecordState.GRANTED and record.cancelled
        if view.incarnation > record.incarnation or withdrawn:
            return Response(Instruction.CONTINUE, 0)
        if record.state == RecordState.GRANTED:
            self.grant_sent_at[record.server] = now
            return Response(Instruction.DRAIN, record.fencing_token)
        instruction = Instruction.CONTINUE
        if view.reported_state == RecordState.DRAINED:
            instruction = INSTRUCTIONS_WHEN_DRAINED.get(record.state, Instruction.CONTINUE)
        return Response(instruction, record.fencing_token)
