"""Draws a fault schedule before the first fault, so that a seed always gives the same schedule.

The schedule has a random source of its own. What is known only during the run, such as which server leads, is
named by a role.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ...transport.seeded_random import SeededRandom
from ..random_streams import warmed_up

LEADER: Final = "the leader"  # role, resolved when the fault starts; the fallback where there is no leader
MIN_FAULT_LEASES: Final = 0.3  # plus the spread below
FAULT_SPREAD_LEASES: Final = 3.0
LEADER_STOP_EXTENSION_LEASES: Final = 2.5  # long enough that another leader is elected
MIN_PAUSE_SHARE: Final = 0.2  # of the mean pause
PAUSE_SPREAD_SHARE: Final = 1.6  # of the mean pause
STOP_WITH_COMMANDS_SHARE: Final = 0.7  # of stops that stop the server's commands too
DELAYED_LINK_SHARE: Final = 0.3  # of links in a fault that delays them
MAX_DELAY_S: Final = 0.2
CLOCK_RATE_SPREAD: Final = 0.018  # within the drift that the lease allows for


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


# (kind, whether it is aimed at the leader); a pair that is listed more than once is drawn more often.
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
    fallback: str  # the server to use where there is no leader
    peer: str  # the other end of a link
    side: frozenset[str]  # the servers on one side of a partition
    delays: tuple[tuple[tuple[str, str], float], ...]  # s by link
    whole: bool  # the server's commands are stopped too, or links are broken as they heal
    inbound: bool  # a one-way partition keeps messages from reaching the target
    clock_rate: float
    lasts: float  # s
    pause: float  # s before the next fault

    def describe(self) -> str:
        """Return the fault as one line of text."""
        side = f" side={','.join(sorted(self.side))}" if self.kind is FaultKind.PARTITION else ""
        direction = (" in" if self.inbound else " out") if self.kind is FaultKind.ONE_WAY else ""
        return (
            f"{self.kind.value} {self.target}{direction}{side} "
            f"lasts={self.lasts:.2f}s pause={self.pause:.2f}s"
        )


def draw_schedule(
    seed: int, servers: Sequence[str], count: int, lease: float, pace: float
) -> list[ScheduledFault]:
    """Return `count` faults; the same arguments give the same faults.

    Args:
        seed: Number of the schedule.
        servers: The names of the servers.
        count: Number of faults.
        lease: The leader's lease in seconds, which the lengths of faults follow.
        pace: Mean seconds between the starts of two faults.
    """
    random_source = warmed_up(seed)
    return [_draw(random_source, servers, lease, pace) for _ in range(count)]


def _draw(random_source: SeededRandom, servers: Sequence[str], lease: float, pace: float) -> ScheduledFault:
    """Draw one fault.

    Every field is drawn whatever the kind is, so that the following faults do not depend on it.
    """
    kind, at_leader = CHOICES[int(random_source.random() * len(CHOICES))]
    fallback = servers[int(random_source.random() * len(servers))]
    lasts = lease * (MIN_FAULT_LEASES + FAULT_SPREAD_LEASES * random_source.random())
    if kind is FaultKind.STOP and at_leader:
        lasts += LEADER_STOP_EXTENSION_LEASES * lease
    links = itertools.permutations(servers, 2)
    delays = [
        (link, random_source.random() < DELAYED_LINK_SHARE, MAX_DELAY_S * random_source.random())
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
        whole=random_source.random() < STOP_WITH_COMMANDS_SHARE,
        inbound=at_leader or inbound < 0.5,
        clock_rate=1 + CLOCK_RATE_SPREAD * (random_source.random() - 0.5),
        lasts=lasts,
        pause=pace * (MIN_PAUSE_SHARE + PAUSE_SPREAD_SHARE * random_source.random()),
    )
