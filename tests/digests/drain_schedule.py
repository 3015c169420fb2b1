"""Drives the leader's drain schedule: requests, reports, losses, overload and new leaders.

The entries that it proposes are applied to the log's state, and the servers mostly follow instructions.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.cluster.replicated_state import ClusterState
from valeturn.maintenance.drain_schedule import DrainSchedule, MaintenanceLimits, ScheduleInput
from valeturn.maintenance.records import MaintenanceRecord, RecordState, decode_record
from valeturn.maintenance.server_view import (
    MemberView,
    ServerView,
    capacity_without,
    merge_report,
    total_load,
)

INPUTS = tuple(ScheduleInput)
STEPS = 2400
LEASE = 2.0
RESPONSE_VALIDITY_S = 3.0
ZONES = ("east", "west", "-")
LIMITS = (
    MaintenanceLimits(2, 0.5, True, 0.2, 5, 20.0, False),
    MaintenanceLimits(3, 0.4, False, 0.1, 2, 10.0, True),
    MaintenanceLimits(1, 0.1, False, 0.3, 5, 15.0, True),
    MaintenanceLimits(4, 0.9, True, 0.0, 0, 5.0, False),
)


class Server:
    """One server: the state of its maintenance, and its last report."""

    def __init__(self, random_source: random.Random, number: int) -> None:
        self.random_source = random_source
        self.name = f"s{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.cores = random_source.choice([2.0, 4.0])
        self.incarnation = 1
        self.alive = True
        self.suspected = False
        self.overloaded = False
        self.is_member = True
        self.drain_state = RecordState.WAITING
        self.fencing_token = 0
        self.warm = 1.0
        self.answers = 50
        self.busy = 0.2
        self.silent_until = 0.0
        self.receives_nothing_until = 0.0
        self.restart_at = 0.0
        self.report: ServerView | None = None

    def stop(self, now: float, max_delay_s: float) -> None:
        """End this incarnation; another begins later."""
        self.alive = False
        self.restart_at = now + self.random_source.uniform(0.0, max_delay_s)

    def start(self) -> None:
        """Begin another incarnation, not warmed up."""
        self.alive = True
        self.incarnation += 1
        self.drain_state = RecordState.WAITING
        self.fencing_token = 0
        self.warm = 0.3
        self.answers = 0

    def advance(self, now: float) -> None:
        """Advance with time: return, warm up, finish the drain."""
        random_source = self.random_source
        if not self.alive and now >= self.restart_at:
            self.start()
        self.warm = min(1.0, self.warm + 0.05)
        self.answers += random_source.choice([0, 0, 1])
        if self.drain_state == RecordState.DRAINING and random_source.random() < 0.1:
            self.drain_state = RecordState.DRAINED

    def view(self, now: float) -> ServerView:
        """Return its current report."""
        return ServerView(
            self.name,
            self.zone,
            self.incarnation,
            True,
            False,
            self.cores,
            self.busy,
            self.warm,
            self.overloaded,
            self.answers,
            self.drain_state,
            self.fencing_token,
            now,
        )

    def receive_instruction(self, now: float, verb: str, fencing_token: int) -> None:
        """Mostly follow the leader's instruction."""
        if now < self.receives_nothing_until or self.random_source.random() < 0.15:
            return
        if verb == "out" and self.drain_state == RecordState.WAITING:
            self.drain_state = RecordState.DRAINING
            self.fencing_token = fencing_token
        elif verb == "work":
            self.stop(now, 40.0)
        elif verb == "back":
            self.stop(now, 10.0)


class World:
    """The servers, the log's state and the leader's schedule."""

    def __init__(self, random_source: random.Random, record: Callable[[object], None]) -> None:
        self.random_source = random_source
        self.record = record
        self.now = 0.0
        self.number = 0
        self.servers = [Server(random_source, number) for number in range(7)]
        self.cluster_state = ClusterState()
        self.limits = random_source.choice(LIMITS)
        self.schedule = DrainSchedule(self.limits, LEASE, RESPONSE_VALIDITY_S, self.now)

    def rows(self) -> list[MaintenanceRecord]:
        """Return the requests in the log."""
        return [decode_record(row) for row in self.cluster_state.maintenance_records]

    def apply(self, entry: tuple) -> None:
        """Commit one entry."""
        self.cluster_state = self.cluster_state.apply(entry)

    def request(self) -> None:
        """Request maintenance, sometimes of an unknown server."""
        random_source = self.random_source
        name = random_source.choice([*(server.name for server in self.servers), "ghost"])
        if any(row.server == name for row in self.rows()):
            return
        self.number += 1
        work = random_source.choice([5.0, 30.0])
        row = MaintenanceRecord(name, self.number, "reboot", random_source.random() < 0.3, work)
        self.apply(("turn", row.encode()))

    def cancel_request(self) -> None:
        """Cancel one request."""
        rows = self.rows()
        if self.random_source.random() < 0.5:
            rows = [row for row in rows if row.state != RecordState.WAITING]
        if rows:
            row = self.random_source.choice(rows)
            self.apply(("turn", row._replace(cancelled=True).encode()))

    def serve_again(self) -> None:
        """Let a draining or drained server serve again, which is a fault, and lose messages for some time."""
        unavailable = [server for server in self.servers if server.drain_state != RecordState.WAITING]
        if unavailable:
            server = self.random_source.choice(unavailable)
            server.drain_state = RecordState.WAITING
            server.receives_nothing_until = self.now + self.random_source.uniform(0.0, 20.0)

    def change_conditions(self) -> None:
        """Make random changes."""
        random_source = self.random_source
        server = random_source.choice(self.servers)
        kind = random_source.random()
        if kind < 0.12:
            self.request()
        elif kind < 0.14:
            self.cancel_request()
        elif kind < 0.15:
            server.stop(self.now, 20.0)
        elif kind < 0.16:
            server.silent_until = self.now + random_source.uniform(0.0, 20.0)
        elif kind < 0.19:
            server.overloaded = random_source.random() < 0.15
        elif kind < 0.23:
            for other in self.servers:
                other.busy = random_source.choice([0.1, 0.2, 0.4, 0.6])
        elif kind < 0.25:
            server.suspected = random_source.random() < 0.3
        elif kind < 0.255:
            self.apply(("hold", random_source.random() < 0.3))
        elif kind < 0.26:
            server.is_member = random_source.random() < 0.7
        elif kind < 0.263:
            self.limits = random_source.choice(LIMITS)
            self.schedule = DrainSchedule(self.limits, LEASE, RESPONSE_VALIDITY_S, self.now)
        elif kind < 0.27:
            for other in self.servers:
                other.silent_until = self.now + random_source.uniform(0.0, 12.0)
        elif kind < 0.30:
            self.serve_again()
        elif kind < 0.34:
            server.receives_nothing_until = self.now + random_source.uniform(0.0, 20.0)

    def exchange_reports(self) -> None:
        """Let the servers report and receive instructions."""
        rows = self.rows()
        for server in self.servers:
            if not server.alive or self.now < server.silent_until or self.random_source.random() < 0.2:
                continue
            server.report = server.view(self.now)
            row = next((one for one in rows if one.server == server.name), None)
            verb, fencing_token = self.schedule.response_to(self.now, row, server.report)
            self.record([verb, fencing_token])
            server.receive_instruction(self.now, verb, fencing_token)

    def views(self) -> dict[str, ServerView]:
        """Return the leader's view of the servers; the membership may be older or newer than a report."""
        views = {}
        for server in self.servers:
            if not server.is_member:
                continue
            alive = server.alive
            incarnation = server.incarnation
            if self.random_source.random() < 0.03:
                incarnation = 0
            member = MemberView(server.zone, incarnation, alive, server.suspected)
            views[server.name] = merge_report(server.name, server.report, member)
        return views

    def plan_and_commit(self) -> None:
        """Plan, and commit the proposed entries."""
        views = self.views()
        entries = self.schedule.plan(self.now, self.rows(), views, self.cluster_state.maintenance_held)
        self.record([list(entry.encode()) for entry in entries])
        self.record([[name, reason] for name, reason in self.schedule.wait_reasons.items()])
        for entry in entries:
            self.apply(entry.encode())

    def record_state(self) -> None:
        """Record the log's records and the schedule's state."""
        views = self.views()
        rows = self.rows()
        reporting = self.schedule.reporting_servers(self.now, views)
        unavailable = self.schedule.unavailable_servers(rows, views)
        self.record([list(row) for row in self.cluster_state.maintenance_records])
        self.record([[name, list(view)] for name, view in views.items()])
        self.record(
            [
                self.cluster_state.fencing_token,
                self.schedule.unavailable_limit(views),
                list(reporting),
                sorted(unavailable),
            ]
        )
        self.record([capacity_without(reporting, unavailable), total_load(reporting)])


def is_rejected(state: int) -> bool:
    """Return whether a record with this state is rejected."""
    encoded = MaintenanceRecord("s0", 1, "reboot", False, 5.0, state).encode()
    try:
        decode_record(encoded)
    except ValueError:
        return True
    return False


def record_every_step(schedule: DrainSchedule, record: Callable[[object], None]) -> None:
    """Record the step of every pair of state and input, including those that change nothing."""
    for state in range(len(RecordState)):
        row = MaintenanceRecord("s0", 1, "reboot", False, 5.0, state, 3, 2, 1)
        for event in INPUTS:
            record([list(entry.encode()) for entry in schedule.step(row, event, 4)])


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run some thousand steps and record entries, reasons and instructions."""
    random_source = random.Random(seed)
    world = World(random_source, record)
    for state in (-1, len(RecordState)):
        record(is_rejected(state))
    record_every_step(world.schedule, record)
    for step in range(STEPS):
        world.now += random_source.uniform(0.3, 0.7)
        world.change_conditions()
        for server in world.servers:
            server.advance(world.now)
        world.exchange_reports()
        world.plan_and_commit()
        if step % 20 == 0:
            world.record_state()
