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

    def __init__(self, chance: random.Random, record: Callable[[object], None]) -> None:
        self.chance = chance
        self.record = record
        self.names = [f"n{number}" for number in range(chance.choice(SIZES))]
        chance.shuffle(self.names)
        self.lives = {name: chance.randrange(1, 5) for name in self.names}
        self.servers = {}
        for name in self.names:
            self.begin(name)
        self.way: list[tuple[int, str, str, list]] = []

    def begin(self, name: str) -> None:
        """Start an incarnation of one server without durable state."""
        floor = self.chance.choice([0, 0, 7, 40])
        self.servers[name] = Bootstrap(name, self.lives[name], floor, self.names)
        self.record(voter_set_to_wire(self.servers[name].complete_if_alone()))

    def tell(self, step: int) -> None:
        """Send one server's announcement to the others."""
        name = self.chance.choice(self.names)
        word = self.servers[name].announcement()
        self.record(word)
        for other in self.names:
            if other != name and self.chance.random() < 0.8:
                self.way.append((step + self.chance.randrange(12), name, other, word))

    def deliver(self, step: int) -> None:
        """Deliver the announcements that are due, some of them malformed."""
        due = [one for one in self.way if one[0] <= step]
        self.way = [one for one in self.way if one[0] > step]
        for _, sender, name, (row, would, done) in due:
            kind = self.chance.random()
            if kind < 0.01:
                sender = "stranger"
            elif kind < 0.02:
                row = self.chance.choice(UNREADABLE)
            elif kind < 0.03:
                would = self.chance.choice(UNREADABLE)
            elif kind < 0.04:
                done = not done
            self.record(voter_set_to_wire(self.servers[name].receive(sender, row, would, done)))

    def restart(self) -> None:
        """Restart one server without its state."""
        name = self.chance.choice(self.names)
        self.lives[name] += 1
        self.begin(name)

    def founded(self) -> bool:
        """Return whether all have completed the bootstrap."""
        return all(server.completed is not None for server in self.servers.values())


def play(seed: int, record: Callable[[object], None]) -> None:
    """Bootstrap cluster after cluster for some thousand steps and record all announcements and sets."""
    chance = random.Random(seed)
    for said in UNREADABLE:
        record(read_voter_set(said) is not None)
    fleet = Fleet(chance, record)
    stays = 0
    for step in range(STEPS):
        fleet.tell(step)
        fleet.deliver(step)
        if chance.random() < 0.03:
            fleet.restart()
        if step % 10 == 0:
            record([voter_set_to_wire(server.proposal()) for server in fleet.servers.values()])
        if fleet.founded():
            stays += 1
        if stays > 15:
            stays = 0
            fleet = Fleet(chance, record)
