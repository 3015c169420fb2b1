"""Draw a fault schedule ahead of its play, so that a seed is a schedule.

Everything that is drawn comes from a stream of the schedule's own, before the first fault. What can only be
known while it is played, such as which server leads, stands in it as a role.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ...transport.seeded_random import SeededRandom
from ..random_streams import warmed_up

LEADER: Final = "the leader"  # a target that is found when the fault is played; another where nobody leads
SHORTEST_FAULT: Final = 0.3  # leases
FAULT_SPREAD: Final = 3.0  # leases
LEADER_STOP_EXTENSION: Final = 2.5  # leases: long enough that another one is elected
SHORTEST_PAUSE: Final = 0.2  # of the pace
PAUSE_SPREAD: Final = 1.6  # of the pace
WHOLE_STOP_SHARE: Final = 0.7  # of stops that stop the server's commands too
DELAYED_LINK_SHARE: Final = 0.3
LONGEST_DELAY: Final = 0.2  # s
CLOCK_RATE_SPREAD: Final = 0.018  # within what the lease allows for


class FaultKind(Enum):
    """What a fault does; its value is how it is printed."""

    STOP = "stop"
    KILL = "kill"
    WIPE = "kill and wipe"
    PARTITION = "partition"
    ONE_WAY = "one-way partition"
    RESET = "reset a link"
    DELAY = "delay links"
    TRICKLE = "trickle from"
    DUPLICATE = "duplicate messages from"
    TRANSFER = "transfer leadership from"
    STOP_ALL = "stop all"
    CLOCK = "clock drift at"
    FLAP = "flap"


# Each fault is drawn from these; a pair that stands more than once comes more often.
CHOICES: Final = (
    (FaultKind.STOP, False),
    (FaultKind.STOP, True),
    (FaultKind.KILL, False),
    (FaultKind.KILL, True),
    (FaultKind.WIPE, False),
    (FaultKind.PARTITION, False),
    (FaultKind.ONE_WAY, False),
    (FaultKind.ONE_WAY, True),
    (FaultKind.STOP, True),
    (FaultKind.STOP, True),
    (FaultKind.RESET, False),
    (FaultKind.DELAY, False),
    (FaultKind.TRICKLE, False),
    (FaultKind.DUPLICATE, False),
    (FaultKind.TRANSFER, True),
    (FaultKind.STOP_ALL, False),
    (FaultKind.CLOCK, False),
    (FaultKind.FLAP, False),
)


class ScheduledFault(NamedTuple):
    """One fault with all that was drawn for it; which fields count depends on its kind."""

    kind: FaultKind
    target: str  # a server's name, or LEADER
    fallback: str  # the server in its place where nobody leads
    peer: str  # the other end of a link
    side: frozenset[str]  # the servers on one side of a partition
    delays: tuple[tuple[tuple[str, str], float], ...]  # s by link
    whole: bool  # the server's commands are stopped too, or links are broken as they heal
    inbound: bool  # a one-way partition keeps messages from reaching the target
    clock_rate: float
    lasts: float  # s
    pause: float  # s before the next fault

    def describe(self) -> str:
        """Return the fault in a line."""
        side = f" side={','.join(sorted(self.side))}" if self.kind is FaultKind.PARTITION else ""
        way = (" in" if self.inbound else " out") if self.kind is FaultKind.ONE_WAY else ""
        return f"{self.kind.value} {self.target}{way}{side} lasts={self.lasts:.2f}s pause={self.pause:.2f}s"


def draw_schedule(
    seed: int, servers: Sequence[str], count: int, lease: float, pace: float
) -> list[ScheduledFault]:
    """Return so many faults; the same arguments give the same ones.

    Args:
        seed: Which schedule.
        servers: The names of the servers.
        count: How many faults.
        lease: The leader's lease in seconds, which the lengths of faults follow.
        pace: Mean seconds between the starts of two faults.
    """
    random_source = warmed_up(seed)
    return [_draw(random_source, servers, lease, pace) for _ in range(count)]


def _draw(random_source: SeededRandom, servers: Sequence[str], lease: float, pace: float) -> ScheduledFault:
    """Draw every field, whatever the kind: one more kind does not move what is drawn for the others."""
    kind, at_leader = CHOICES[int(random_source.random() * len(CHOICES))]
    fallback = servers[int(random_source.random() * len(servers))]
    lasts = lease * (SHORTEST_FAULT + FAULT_SPREAD * random_source.random())
    if kind is FaultKind.STOP and at_leader:
        lasts += LEADER_STOP_EXTENSION * lease
    links = itertools.permutations(servers, 2)
    delays = [
        (link, random_source.random() < DELAYED_LINK_SHARE, LONGEST_DELAY * random_source.random())
        for link in links
    ]
    inbound = random_source.random()
    return ScheduledFault(
        kind,
        target=LEADER if at_leader else fallback,
        fallback=fallback,
        peer=servers[int(random_source.random() * len(servers))],
        side=frozenset(name for name in servers if random_source.random() < 0.5),
        delays=tuple((link, delay) for link, delayed, delay in delays if delayed),
        whole=random_source.random() < WHOLE_STOP_SHARE,
        inbound=at_leader or inbound < 0.5,
        clock_rate=1 + CLOCK_RATE_SPREAD * (random_source.random() - 0.5),
        lasts=lasts,
        pause=pace * (SHORTEST_PAUSE + PAUSE_SPREAD * random_source.random()),
    )
