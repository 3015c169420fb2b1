"""Feeds both sides of the split of a dependency's cap: needs, losses, delays, restarts and new fences.

Each server has its own clock. Asks and grants travel with delays and losses, some are repeated, some are
of an owner that was followed by another, and some grants are spoilt.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.cluster.quota import (
    QuotaAllocator,
    QuotaClient,
    QuotaGrant,
    QuotaRequest,
    QuotaSource,
)

SOURCES = tuple(QuotaSource)
STEPS = 4000
CAP = 60.0
LARGEST = 5
LASTS = 4.0


class Server:
    """One server with its own clock."""

    def __init__(self, chance: random.Random, name: str) -> None:
        self.name = name
        self.rate = chance.uniform(0.99, 1.01)
        self.offset = chance.uniform(0.0, 1000.0)
        self.need = 0.0
        self.silent_until = 0.0
        self.deaf_until = 0.0
        self.holder = QuotaClient(self.clock(0.0), CAP / LARGEST, LASTS)

    def clock(self, now: float) -> float:
        """Return the server's own time."""
        return self.offset + self.rate * now


class World:
    """The servers, the owners so far and the messages on their way."""

    def __init__(self, chance: random.Random, record: Callable[[object], None]) -> None:
        self.chance = chance
        self.record = record
        self.now = 0.0
        self.servers = [Server(chance, f"s{number}") for number in range(LARGEST + 1)]
        self.splitters = [QuotaAllocator(0.0, 1, CAP, LARGEST, LASTS)]
        self.asks: list[tuple[float, int, Server, QuotaRequest]] = []
        self.grants: list[tuple[float, Server, QuotaGrant]] = []

    def delay(self) -> float:
        """Return how long a message is on its way: mostly short, at times for too long."""
        if self.chance.random() < 0.04:
            return self.chance.uniform(0.0, 1.5 * LASTS)
        return self.chance.uniform(0.0, 0.2)

    def events(self) -> None:
        """Let the world change by chance."""
        server = self.chance.choice(self.servers)
        kind = self.chance.random()
        if kind < 0.10:
            server.need = self.chance.choice([0.0, 1.0, self.chance.uniform(0.0, 15.0), 40.0])
        elif kind < 0.103:
            server.silent_until = self.now + self.chance.uniform(0.0, 8 * LASTS)
        elif kind < 0.115:
            server.deaf_until = self.now + self.chance.uniform(0.0, 2 * LASTS)
        elif kind < 0.118:
            server.holder = QuotaClient(server.clock(self.now), CAP / LARGEST, LASTS)
        elif kind < 0.121:
            fence = len(self.splitters) + 1
            self.splitters.append(QuotaAllocator(self.now, fence, CAP, LARGEST, LASTS))

    def ask(self, server: Server) -> None:
        """Let a server ask the present owner, or an earlier one."""
        said = server.holder.request(server.clock(self.now), server.need)
        self.record([said.need, said.sent_at, list(said.current_grant)])
        owner = len(self.splitters) - 1
        if self.chance.random() < 0.1:
            owner = max(0, owner - 1)
        if self.chance.random() < 0.9:
            self.asks.append((self.now + self.delay(), owner, server, said))

    def answer(self, owner: int, server: Server, said: QuotaRequest) -> None:
        """Let an owner answer an ask that has come."""
        grant = self.splitters[owner].handle_request(self.now, server.name, said)
        if grant is None:
            self.record(None)
            return
        self.record(list(grant))
        if self.now < server.deaf_until or self.chance.random() < 0.1:
            return
        self.grants.append((self.now + self.delay(), server, grant))
        if self.chance.random() < 0.05:
            self.grants.append((self.now + self.delay(), server, grant))
        if self.chance.random() < 0.02:
            self.grants.append((self.now, server, self.spoilt(grant)))

    def spoilt(self, grant: QuotaGrant) -> QuotaGrant:
        """Return the grant with one value that must not be taken."""
        fence, number, amount, stamp, lasts = grant
        kind = self.chance.randrange(6)
        if kind == 0:
            amount = float("nan")
        elif kind == 1:
            amount = -1.0
        elif kind == 2:
            lasts = 0.0
        elif kind == 3:
            lasts = 2 * LASTS
        elif kind == 4:
            stamp = stamp + 0.001
        else:
            fence = 0
        return QuotaGrant(fence, number + 1, amount, stamp, lasts)

    def deliver(self) -> None:
        """Hand over all messages whose time has come."""
        due = [one for one in self.asks if one[0] <= self.now]
        self.asks = [one for one in self.asks if one[0] > self.now]
        for _, owner, server, said in due:
            self.answer(owner, server, said)
        come = [one for one in self.grants if one[0] <= self.now]
        self.grants = [one for one in self.grants if one[0] > self.now]
        for _, server, grant in come:
            self.record(server.holder.accept(server.clock(self.now), grant))
            self.record([SOURCES.index(server.holder.source), server.holder.stale_count])

    def figures(self) -> None:
        """Record what may be used, by the servers and by the owner's count."""
        for server in self.servers:
            holder = server.holder
            self.record([holder.available(server.clock(self.now)), SOURCES.index(holder.source)])
        splitter = self.splitters[-1]
        self.record(splitter.committed(self.now))
        self.record([splitter.upper_limit(self.now, server.name) for server in self.servers])
        self.record(list(splitter.status(self.now).values()))


def play(seed: int, record: Callable[[object], None]) -> None:
    """Play some thousand steps and record all that both sides return."""
    chance = random.Random(seed)
    world = World(chance, record)
    for step in range(STEPS):
        world.now += chance.uniform(0.01, 0.2)
        world.events()
        server = chance.choice(world.servers)
        if world.now >= server.silent_until:
            world.ask(server)
        world.deliver()
        if step % 20 == 0:
            world.figures()
