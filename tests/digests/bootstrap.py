"""Drives the bootstrap of clusters of one and of three to five servers: losses, restarts, bad input."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.cluster.bootstrap import Bootstrap, read_voter_set, voter_set_to_wire

STEPS = 4000
SIZES = (3, 4, 5, 3, 4, 5, 1)
UNREADABLE = (
    "none",
    [["a", 1]],
    [[1, 1, 1]],
    [["a", True, 0]],
    [["a", -1, 0]],
    [["a", 1, 2**63]],
    [["a", 1.0, 0]],
    [["b", 1, 0], ["a", 1, 0]],
    [("a", 1, 0)],
)


class Fleet:
    """Servers of a cluster that is not bootstrapped, and the announcements in flight."""

    def __init__(self, random_source: random.Random, record: Callable[[object], None]) -> None:
        self.random_source = random_source
        self.record = record
        self.names = [f"n{number}" for number in range(random_source.choice(SIZES))]
        random_source.shuffle(self.names)
        self.incarnations = {name: random_source.randrange(1, 5) for name in self.names}
        self.servers = {}
        for name in self.names:
            self.start(name)
        self.in_flight: list[tuple[int, str, str, list]] = []

    def start(self, name: str) -> None:
        """Start an incarnation of one server without durable state."""
        floor = self.random_source.choice([0, 0, 7, 40])
        self.servers[name] = Bootstrap(name, self.incarnations[name], floor, self.names)
        self.record(voter_set_to_wire(self.servers[name].complete_if_alone()))

    def announce(self, step: int) -> None:
        """Send one server's announcement to the others."""
        name = self.random_source.choice(self.names)
        announcement = self.servers[name].announcement()
        self.record(announcement)
        for other in self.names:
            if other != name and self.random_source.random() < 0.8:
                self.in_flight.append((step + self.random_source.randrange(12), name, other, announcement))

    def deliver(self, step: int) -> None:
        """Deliver the announcements that are due, some of them malformed."""
        due = [message for message in self.in_flight if message[0] <= step]
        self.in_flight = [message for message in self.in_flight if message[0] > step]
        for _, sender, name, (row, would, done) in due:
            kind = self.random_source.random()
            if kind < 0.01:
                sender = "stranger"
            elif kind < 0.02:
                row = self.random_source.choice(UNREADABLE)
            elif kind < 0.03:
                would = self.random_source.choice(UNREADABLE)
            elif kind < 0.04:
                done = not done
            self.record(voter_set_to_wire(self.servers[name].receive(sender, row, would, done)))

    def restart(self) -> None:
        """Restart one server without its state."""
        name = self.random_source.choice(self.names)
        self.incarnations[name] += 1
        self.start(name)

    def all_completed(self) -> bool:
        """Return whether all have completed the bootstrap."""
        return all(server.completed is not None for server in self.servers.values())


def play(seed: int, record: Callable[[object], None]) -> None:
    """Bootstrap cluster after cluster for some thousand steps and record all announcements and sets."""
    random_source = random.Random(seed)
    for unreadable in UNREADABLE:
        record(read_voter_set(unreadable) is not None)
    fleet = Fleet(random_source, record)
    completed_steps = 0
    for step in range(STEPS):
        fleet.announce(step)
        fleet.deliver(step)
        if random_source.random() < 0.03:
            fleet.restart()
        if step % 10 == 0:
            record([voter_set_to_wire(server.proposal()) for server in fleet.servers.values()])
        if fleet.all_completed():
            completed_steps += 1
        if completed_steps > 15:
            completed_steps = 0
            fleet = Fleet(random_source, record)
