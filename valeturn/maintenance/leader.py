"""The leader's part of maintenance: collect reports, plan, and propose entries of the replicated log."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from ..cluster.member_messages import ALIVE, SUSPECTED
from ..cluster.node import ClusterNode
from .committed_records import CommittedRecords
from .drain_schedule import DrainSchedule
from .messages import Report, Response
from .options import MaintenanceOptions
from .records import (
    STATE_TEXTS,
    GrantsPaused,
    MaintenanceRecord,
    RecordRemoved,
    RecordState,
    RecordUpdated,
    ScheduleEntry,
)
from .server_view import MemberView, ServerView, merge_report, view_from_report

Log = Callable[[str, dict[str, Any]], None]

PLAN_INTERVAL_LEASES = 0.25
"""Leases between two plans: half the interval between two reports of a server."""
MAX_RECORDS = 1024
"""Maximum maintenance requests at once: one for each server that a cluster may have."""
REPORT_RETENTION = 3600.0
"""Seconds after its last report for which a server is still expected to be there."""
MAX_REASON_LENGTH = 64
"""Maximum characters that are stored of an operator's reason."""
MIN_WORK_DURATION = 1.0
"""Seconds; the shortest maintenance that may be requested."""
MAX_WORK_DURATION = 86400.0
"""Seconds; the longest maintenance that may be requested."""


class MaintenanceLeader:
    """Runs the drain schedule while this server leads the cluster.

    While it does not lead, received requests and reports are ignored; their senders repeat them.
    """

    def __init__(
        self, node: ClusterNode, records: CommittedRecords, response_validity: float, log: Log
    ) -> None:
        """Start as a server that does not lead.

        Args:
            node: This server's cluster node.
            records: The committed maintenance records.
            response_validity: Seconds within which a server may act on an answer to its report.
            log: Takes the name of an event and its fields.
        """
        self.node = node
        self.records = records
        self.response_validity = response_validity
        self.log = log
        self.schedule: DrainSchedule | None = None  # None while this server does not lead
        self.reports: dict[str, ServerView] = {}  # by server
        self.next_plan_at = 0.0

    def resign(self) -> None:
        """Forget the schedule; the next tick as leader starts a new one."""
        self.schedule = None

    def tick(self, now: float, options: MaintenanceOptions) -> None:
        """Plan the schedule when a plan is due; to be called while this server leads."""
        lease = self.node.options.lease
        if self.schedule is None:
            self.schedule = DrainSchedule(options.limits(), lease, self.response_validity, now)
        if now >= self.next_plan_at:
            self.next_plan_at = now + PLAN_INTERVAL_LEASES * lease
            self._plan(now, self.schedule)

    def _plan(self, now: float, schedule: DrainSchedule) -> None:
        replica = self.node.raft
        if replica.commit_index < replica.last_position().last_index:
            return  # plans use committed entries only: an uncommitted one may be another grant
        records = self.records.read()
        paused = replica.state.maintenance_held
        for entry in schedule.plan(now, records, self.views(now), paused):
            if not self.node.propose(entry.encode()):
                return
            self._log_entry(entry)

    def _log_entry(self, entry: ScheduleEntry) -> None:
        if isinstance(entry, RecordRemoved):
            self.log("maintenance_ended", {"server": entry.server})
            return
        record = entry.record
        if record.state == RecordState.WAITING and record.bypass_count:
            return  # only its bypass count has increased
        self.log(
            "maintenance_changed",
            {
                "server": record.server,
                "state": STATE_TEXTS[record.state],
                "reason": record.reason,
                "overdue": record.overdue,
            },
        )

    def views(self, now: float) -> dict[str, ServerView]:
        """Return all expected servers by name: members, those that reported lately, those with a record."""
        membership = self.node.membership
        members = {self.node.name: membership.local, **membership.members}
        self.reports = {
            name: view for name, view in self.reports.items() if now - view.reported_at < REPORT_RETENTION
        }
        views = {}
        for name in {*members, *self.reports, *(record.server for record in self.records.read())}:
            member = members.get(name)
            if member is None:
                member_view = MemberView("-", 0, alive=False, suspected=False)
            else:
                alive = member.state in (ALIVE, SUSPECTED)
                member_view = MemberView(member.zone, member.generation, alive, member.state == SUSPECTED)
            views[name] = merge_report(name, self.reports.get(name), member_view)
        return views

    def receive_report(self, now: float, sender: str, report: Report) -> Response | None:
        """Store a server's report and return the answer; None where this server does not lead.

        Raises:
            TypeError: A field of the report has the wrong type.
            ValueError: A field of the report can't be converted.
        """
        if self.schedule is None:
            return None
        view = view_from_report(sender, report, now)
        self.reports[sender] = view
        response = self.schedule.response_to(now, self.records.find(sender), view)
        # Checked again here: the lease may have expired since the last tick.
        return response if self.node.leads(self.node.clock()) else None

    def enqueue(self, servers: Collection[str], reason: str, urgent: bool, work_duration: float) -> None:
        """Propose a record for each server that has none.

        Raises:
            TypeError: A field of the request has the wrong type.
            ValueError: A field of the request can't be converted.
        """
        if self.schedule is None:
            return
        records = {record.server: record for record in self.records.read()}
        sequence_number = max((record.sequence_number for record in records.values()), default=0)
        for server in servers:
            if not isinstance(server, str) or server in records or len(records) >= MAX_RECORDS:
                continue
            sequence_number += 1
            record = MaintenanceRecord(
                server,
                sequence_number,
                str(reason)[:MAX_REASON_LENGTH],
                urgent is True,
                min(MAX_WORK_DURATION, max(MIN_WORK_DURATION, float(work_duration))),
            )
            records[server] = record
            self.node.propose(RecordUpdated(record).encode())

    def cancel(self, servers: Collection[str]) -> None:
        """Propose to cancel the requests of these servers."""
        for record in self.records.read():
            if self.schedule is not None and record.server in servers and not record.cancelled:
                self.node.propose(RecordUpdated(record._replace(cancelled=True)).encode())

    def set_paused(self, paused: bool) -> None:
        """Propose to pause or to resume the granting of maintenance."""
        if self.schedule is not None:
            self.node.propose(GrantsPaused(paused is True).encode())
