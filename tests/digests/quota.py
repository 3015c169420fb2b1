"""Drives both sides of the quota of a shared dependency: needs, losses, delays, restarts, new fencing tokens.

Each server has its own clock. Requests and grants are delayed and lost, some grants are duplicated or
invalid, and some come from an allocator that a later leader has replaced.
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
LARGEST_SERVER_COUNT = 5
GRANT_LIFETIME_S = 4.0


class Server:
    """A server with its own clock and its quota client."""

    def __init__(self, random_source: random.Random, name: str) -> None:
        self.name = name
        self.rate = random_source.uniform(0.99, 1.01)
        self.offset = random_source.uniform(0.0, 1000.0)
        self.need = 0.0
        self.silent_until = 0.0
        self.receives_nothing_until = 0.0
        self.client = QuotaClient(self.clock(0.0), CAP / LARGEST_SERVER_COUNT, GRANT_LIFETIME_S)

    def clock(self, now: float) -> float:
        """Return the server's own time."""
        return self.offset + self.rate * now


class World:
    """The servers, the allocators of all leaders so far and the messages in flight."""

    def __init__(self, random_source: random.Random, record: Callable[[object], None]) -> None:
        self.random_source = random_source
        self.record = record
        self.now = 0.0
        self.servers = [Server(random_source, f"s{number}") for number in range(LARGEST_SERVER_COUNT + 1)]
        self.allocators = [QuotaAllocator(0.0, 1, CAP, LARGEST_SERVER_COUNT, GRANT_LIFETIME_S)]
        self.requests: list[tuple[float, int, Server, QuotaRequest]] = []
        self.grants: list[tuple[float, Server, QuotaGrant]] = []

    def delay(self) -> float:
        """Return the delay of a message in seconds: mostly short, sometimes longer than a grant is valid."""
        if self.random_source.random() < 0.04:
            return self.random_source.uniform(0.0, 1.5 * GRANT_LIFETIME_S)
        return self.random_source.uniform(0.0, 0.2)

    def change_conditions(self) -> None:
        """Randomly change a need, silence a server, restart its client or replace the allocator."""
        server = self.random_source.choice(self.servers)
        kind = self.random_source.random()
        if kind < 0.10:
            server.need = self.random_source.choice([0.0, 1.0, self.random_source.uniform(0.0, 15.0), 40.0])
        elif kind < 0.103:
            server.silent_until = self.now + self.random_source.uniform(0.0, 8 * GRANT_LIFETIME_S)
        elif kind < 0.115:
            server.receives_nothing_until = self.now + self.random_source.uniform(0.0, 2 * GRANT_LIFETIME_S)
        elif kind < 0.118:
            server.client = QuotaClient(server.clock(self.now), CAP / LARGEST_SERVER_COUNT, GRANT_LIFETIME_S)
        elif kind < 0.121:
            fencing_token = len(self.allocators) + 1
            self.allocators.append(
                QuotaAllocator(self.now, fencing_token, CAP, LARGEST_SERVER_COUNT, GRANT_LIFETIME_S)
            )

    def send_request(self, server: Server) -> None:
        """Send a server's request to the current allocator or to the one before it."""
        request = server.client.request(server.clock(self.now), server.need)
        self.record([request.need, request.sent_at, list(request.current_grant)])
        allocator_index = len(self.allocators) - 1
        if self.random_source.random() < 0.1:
            allocator_index = max(0, allocator_index - 1)
        if self.random_source.random() < 0.9:
            self.requests.append((self.now + self.delay(), allocator_index, server, request))

    def answer_request(self, allocator_index: int, server: Server, request: QuotaRequest) -> None:
        """Let an allocator handle a request, and send its grant."""
        grant = self.allocators[allocator_index].handle_request(self.now, server.name, request)
        if grant is None:
            self.record(None)
            return
        self.record(list(grant))
        if self.now < server.receives_nothing_until or self.random_source.random() < 0.1:
            return
        self.grants.append((self.now + self.delay(), server, grant))
        if self.random_source.random() < 0.05:
            self.grants.append((self.now + self.delay(), server, grant))
        if self.random_source.random() < 0.02:
            self.grants.append((self.now, server, self.invalid_grant(grant)))

    def invalid_grant(self, grant: QuotaGrant) -> QuotaGrant:
        """Return the grant with one value that the client has to reject."""
        fencing_token, number, amount, requested_at, lifetime = grant
        kind = self.random_source.randrange(6)
        if kind == 0:
            amount = float("nan")
        elif kind == 1:
            amount = -1.0
        elif kind == 2:
            lifetime = 0.0
        elif kind == 3:
            lifetime = 2 * GRANT_LIFETIME_S
        elif kind == 4:
            requested_at = requested_at + 0.001
        else:
            fencing_token = 0
        return QuotaGrant(fencing_token, number + 1, amount, requested_at, lifetime)

    def deliver(self) -> None:
        """Deliver all messages that are due."""
        due_requests = [message for message in self.requests if message[0] <= self.now]
        self.requests = [message for message in self.requests if message[0] > self.now]
        for _, allocator_index, server, request in due_requests:
            self.answer_request(allocator_index, server, request)
        due_grants = [message for message in self.grants if message[0] <= self.now]
        self.grants = [message for message in self.grants if message[0] > self.now]
        for _, server, grant in due_grants:
            self.record(server.client.accept(server.clock(self.now), grant))
            self.record([SOURCES.index(server.client.source), server.client.stale_count])

    def record_state(self) -> None:
        """Record the quota available to the servers and the allocator's view of it."""
        for server in self.servers:
            client = server.client
            self.record([client.available(server.clock(self.now)), SOURCES.index(client.source)])
        allocator = self.allocators[-1]
        self.record(allocator.committed(self.now))
        self.record([allocator.upper_limit(self.now, server.name) for server in self.servers])
        self.record(list(allocator.status(self.now).values()))


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run some thousand steps and record everything that both sides return."""
    random_source = random.Random(seed)
    world = World(random_source, record)
    for step in range(STEPS):
        world.now += random_source.uniform(0.01, 0.2)
        world.change_conditions()
        server = random_source.choice(world.servers)
        if world.now >= server.silent_until:
            world.send_request(server)
        world.deliver()
        if step % 20 == 0:
            world.record_state()
