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
LASTS = 3.0
ZONES = ("east", "west", "-")
LIMITS = (
    MaintenanceLimits(2, 0.5, True, 0.2, 5, 20.0, False),
    MaintenanceLimits(3, 0.4, False, 0.1, 2, 10.0, True),
    MaintenanceLimits(1, 0.1, False, 0.3, 5, 15.0, True),
    MaintenanceLimits(4, 0.9, True, 0.0, 0, 5.0, False),
)


class Server:
    """One server: the state of its maintenance, and its last report."""

    def __init__(self, chance: random.Random, number: int) -> None:
        self.chance = chance
        self.name = f"s{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.cores = chance.choice([2.0, 4.0])
        self.life = 1
        self.alive = True
        self.doubted = False
        self.strained = False
        self.listed = True
        self.doing = RecordState.WAITING
        self.fence = 0
        self.warm = 1.0
        self.answers = 50
        self.busy = 0.2
        self.silent_until = 0.0
        self.deaf_until = 0.0
        self.comes_back_at = 0.0
        self.report: ServerView | None = None

    def ends(self, now: float, most: float) -> None:
        """End this incarnation; another begins later."""
        self.alive = False
        self.comes_back_at = now + self.chance.uniform(0.0, most)

    def begins(self) -> None:
        """Begin another incarnation, not warmed up."""
        self.alive = True
        self.life += 1
        self.doing = RecordState.WAITING
        self.fence = 0
        self.warm = 0.3
        self.answers = 0

    def goes_on(self, now: float) -> None:
        """Advance with time: return, warm up, finish the drain."""
        chance = self.chance
        if not self.alive and now >= self.comes_back_at:
            self.begins()
        self.warm = min(1.0, self.warm + 0.05)
        self.answers += chance.choice([0, 0, 1])
        if self.doing == RecordState.DRAINING and chance.random() < 0.1:
            self.doing = RecordState.DRAINED

    def view(self, now: float) -> ServerView:
        """Return its current report."""
        return ServerView(
            self.name,
            self.zone,
            self.life,
            True,
            False,
            self.cores,
            self.busy,
            self.warm,
            self.strained,
            self.answers,
            self.doing,
            self.fence,
            now,
        )

    def told(self, now: float, verb: str, fence: int) -> None:
        """Mostly follow the leader's instruction."""
        if now < self.deaf_until or self.chance.random() < 0.15:
            return
        if verb == "out" and self.doing == RecordState.WAITING:
            self.doing = RecordState.DRAINING
            self.fence = fence
        elif verb == "work":
            self.ends(now, 40.0)
        elif verb == "back":
            self.ends(now, 10.0)


class World:
    """The servers, the log's state and the leader's schedule."""

    def __init__(self, chance: random.Random, record: Callable[[object], None]) -> None:
        self.chance = chance
        self.record = record
        self.now = 0.0
        self.number = 0
        self.servers = [Server(chance, number) for number in range(7)]
        self.facts = ClusterState()
        self.limits = chance.choice(LIMITS)
        self.order = DrainSchedule(self.limits, LEASE, LASTS, self.now)

    def rows(self) -> list[MaintenanceRecord]:
        """Return the requests in the log."""
        return [decode_record(row) for row in self.facts.maintenance_records]

    def apply(self, fact: tuple) -> None:
        """Commit one entry."""
        self.facts = self.facts.apply(fact)

    def request(self) -> None:
        """Request maintenance, sometimes of an unknown server."""
        chance = self.chance
        name = chance.choice([*(server.name for server in self.servers), "ghost"])
        if any(row.server == name for row in self.rows()):
            return
        self.number += 1
        work = chance.choice([5.0, 30.0])
        row = MaintenanceRecord(name, self.number, "reboot", chance.random() < 0.3, work)
        self.apply(("turn", row.encode()))

    def take_back(self) -> None:
        """Cancel one request."""
        rows = self.rows()
        if self.chance.random() < 0.5:
            rows = [row for row in rows if row.state != RecordState.WAITING]
        if rows:
            row = self.chance.choice(rows)
            self.apply(("turn", row._replace(cancelled=True).encode()))

    def serve_again(self) -> None:
        """Let a draining or drained server serve again, which is a fault, and lose messages for some time."""
        out = [server for server in self.servers if server.doing != RecordState.WAITING]
        if out:
            server = self.chance.choice(out)
            server.doing = RecordState.WAITING
            server.deaf_until = self.now + self.chance.uniform(0.0, 20.0)

    def events(self) -> None:
        """Make random changes."""
        chance = self.chance
        server = chance.choice(self.servers)
        kind = chance.random()
        if kind < 0.12:
            self.request()
        elif kind < 0.14:
            self.take_back()
        elif kind < 0.15:
            server.ends(self.now, 20.0)
        elif kind < 0.16:
            server.silent_until = self.now + chance.uniform(0.0, 20.0)
        elif kind < 0.19:
            server.strained = chance.random() < 0.15
        elif kind < 0.23:
            for one in self.servers:
                one.busy = chance.choice([0.1, 0.2, 0.4, 0.6])
        elif kind < 0.25:
            server.doubted = chance.random() < 0.3
        elif kind < 0.255:
            self.apply(("hold", chance.random() < 0.3))
        elif kind < 0.26:
            server.listed = chance.random() < 0.7
        elif kind < 0.263:
            self.limits = chance.choice(LIMITS)
            self.order = DrainSchedule(self.limits, LEASE, LASTS, self.now)
        elif kind < 0.27:
            for one in self.servers:
                one.silent_until = self.now + chance.uniform(0.0, 12.0)
        elif kind < 0.30:
            self.serve_again()
        elif kind < 0.34:
            server.deaf_until = self.now + chance.uniform(0.0, 20.0)

    def reports(self) -> None:
        """Let the servers report and receive instructions."""
        rows = self.rows()
        for server in self.servers:
            if not server.alive or self.now < server.silent_until or self.chance.random() < 0.2:
                continue
            server.report = server.view(self.now)
            row = next((one for one in rows if one.server == server.name), None)
            verb, fence = self.order.response_to(self.now, row, server.report)
            self.record([verb, fence])
            server.told(self.now, verb, fence)

    def views(self) -> dict[str, ServerView]:
        """Return the leader's view of the servers; the membership may be older or newer than a report."""
        views = {}
        for server in self.servers:
            if not server.listed:
                continue
            alive = server.alive
            life = server.life
            if self.chance.random() < 0.03:
                life = 0
            member = MemberView(server.zone, life, alive, server.doubted)
            views[server.name] = merge_report(server.name, server.report, member)
        return views

    def look(self) -> None:
        """Plan, and commit the proposed entries."""
        views = self.views()
        facts = self.order.plan(self.now, self.rows(), views, self.facts.maintenance_held)
        self.record([list(fact.encode()) for fact in facts])
        self.record([[name, why] for name, why in self.order.wait_reasons.items()])
        for fact in facts:
            self.apply(fact.encode())

    def figures(self) -> None:
        """Record the log's records and the schedule's state."""
        views = self.views()
        rows = self.rows()
        known = self.order.reporting_servers(self.now, views)
        out = self.order.unavailable_servers(rows, views)
        self.record([list(row) for row in self.facts.maintenance_records])
        self.record([[name, list(view)] for name, view in views.items()])
        self.record([self.facts.fencing_token, self.order.unavailable_limit(views), list(known), sorted(out)])
        self.record([capacity_without(known, out), total_load(known)])


def refused(state: int) -> bool:
    """Return whether a record with this state is rejected."""
    said = MaintenanceRecord("s0", 1, "reboot", False, 5.0, state).encode()
    try:
        decode_record(said)
    except ValueError:
        return True
    return False


def pairs(order: DrainSchedule, record: Callable[[object], None]) -> None:
    """Record the step of every pair of state and input, including those that change nothing."""
    for state in range(len(RecordState)):
        row = MaintenanceRecord("s0", 1, "reboot", False, 5.0, state, 3, 2, 1)
        for given in INPUTS:
            record([list(fact.encode()) for fact in order.step(row, given, 4)])


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run some thousand steps and record entries, reasons and instructions."""
    chance = random.Random(seed)
    world = World(chance, record)
    for state in (-1, len(RecordState)):
        record(refused(state))
    pairs(world.order, record)
    for step in range(STEPS):
        world.now += chance.uniform(0.3, 0.7)
        world.events()
        for server in world.servers:
            server.goes_on(world.now)
        world.reports()
        world.look()
        if step % 20 == 0:
            world.figures()
