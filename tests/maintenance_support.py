"""A leader's drain schedule with its replicated log, for the tests of maintenance."""

from types import SimpleNamespace

from valeturn.cluster.member_messages import ALIVE
from valeturn.cluster.member_table import Member
from valeturn.cluster.node import KnownState
from valeturn.cluster.replicated_state import ClusterState, decode_command
from valeturn.maintenance.coordinator import MaintenanceCoordinator
from valeturn.maintenance.drain_schedule import DrainSchedule, MaintenanceLimits
from valeturn.maintenance.records import MaintenanceRecord, RecordState, RecordUpdated, decode_record
from valeturn.maintenance.server_view import ServerView

LIMITS = MaintenanceLimits(
    max_unavailable=1,
    max_unavailable_share=1.0,
    single_zone=True,
    spare_capacity_share=0.1,
    min_answer_count=5,
    idle_proof_time=30.0,
    keep_missing=True,
)


def make_view(name, zone="a", **fields):
    """Return a serving server's view, with some fields changed."""
    defaults = {"incarnation": 1, "alive": True, "utilization": 0.2, "answer_count": 100}
    return ServerView(name=name, zone=zone, **{**defaults, **fields})


def requested(*names, **fields):
    """Return records of servers in the order of their requests, with some fields changed."""
    return [
        MaintenanceRecord(name, number, "kernel", False, 60.0)._replace(**fields)
        for number, name in enumerate(names, 1)
    ]


def commit_records(*records, log_state=None):
    """Return the log's state with these records added."""
    log_state = log_state or ClusterState()
    for record in records:
        log_state = log_state.apply(decode_command(RecordUpdated(record).encode()))
    return log_state


class ScheduledLog:
    """A drain schedule and the log that its entries are committed to."""

    def __init__(self, *records, limits=LIMITS, lease=1.0, response_validity=1.5, now=0.0):
        self.log_state = commit_records(*records)
        self.schedule = DrainSchedule(limits, lease, response_validity, now)
        self.now = now

    def records(self):
        """Return the committed records by server."""
        return {fields[0]: decode_record(fields) for fields in self.log_state.maintenance_records}

    def plan(self, views, seconds=0.1, paused=False):
        """Advance the time, plan, commit the proposed entries and return the states by server."""
        self.now += seconds
        current = {}
        for view in views:
            fresh = view.alive and not view.reported_at
            current[view.name] = view._replace(reported_at=self.now) if fresh else view
        for entry in self.schedule.plan(self.now, list(self.records().values()), current, paused):
            self.log_state = self.log_state.apply(decode_command(entry.encode()))
        return {name: record.state for name, record in self.records().items()}


class LeadingServer(ScheduledLog):
    """The schedule on the leader, which gets its views from reports and the membership."""

    def __init__(self, *records):
        super().__init__(*records)
        node = SimpleNamespace(
            name="leader",
            options=SimpleNamespace(lease=1.0, zone="z"),
            scheduler=None,
            task_processes=SimpleNamespace(environment={}),
            subsystems=[],
            clock=lambda: self.now,
            known_state=lambda: KnownState(0, self.log_state, "leader"),
            current_leader=lambda: "leader",
            leads=lambda now: False,
            membership=SimpleNamespace(local=self.make_member("leader", 1), members={}),
        )
        options = SimpleNamespace(leader_timeout=9.0)
        self.node = node
        self.coordinator = MaintenanceCoordinator(node, options, None, None, None)
        self.coordinator.leader.schedule = self.schedule

    @staticmethod
    def make_member(name, incarnation, state=ALIVE):
        """Return a member of the membership."""
        return Member(name, "", "a", incarnation, 0, state, 0.0)

    def set_member(self, name, incarnation, state=ALIVE):
        """Set a server's record in the membership."""
        self.node.membership.members[name] = self.make_member(name, incarnation, state)

    def receive_report(self, name, incarnation):
        """Deliver the report of a serving server."""
        fields = (0.0, incarnation, "a", 1.0, 0.1, 1.0, False, 100, RecordState.WAITING, 0)
        self.coordinator.on_report(self.now, name, *fields)

    def plan_from_reports(self):
        """Plan with the leader's own views."""
        return self.plan(list(self.coordinator.leader.views(self.now).values()))
