"""Suspected members and the time until they count as dead; the health of this server's own probes.

After "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips, Currey): a
suspicion starts with a long timeout, which shortens with each member that suspects independently, and a
server whose own probes fail lengthens its timers, because the fault may be its own.
"""

from __future__ import annotations

import math

SUSPICION_MULTIPLIER = (
    4.0  # probe intervals, times the log of the cluster's size: below Lifeguard's alpha of 5
)
MAX_TIMEOUT_MULTIPLIER = 6.0  # times the shortest timeout, while no other member suspects: Lifeguard's beta
CONFIRMATIONS = 3  # independent suspicions after which the shortest timeout applies: Lifeguard's K
MAX_LOCAL_HEALTH = 8  # maximum score, each step adds one probe interval: Lifeguard's S


class LocalHealth:
    """Lifeguard's local health multiplier: 0 while this server's own probes succeed."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor, at least 1, by which this server's timers are lengthened."""
        return 1 + self.score

    def adjust(self, steps: int) -> None:
        """Add `steps`, which may be negative, to the score, within 0 and MAX_LOCAL_HEALTH."""
        self.score = min(MAX_LOCAL_HEALTH, max(0, self.score + steps))


class Suspicion:
    """One suspected member."""

    __slots__ = ("last_ping_at", "since", "suspected_by")

    def __init__(self, now: float, suspected_by: str) -> None:
        self.since = now
        self.suspected_by = {suspected_by}  # members that suspect independently
        self.last_ping_at = now

    @property
    def confirmations(self) -> int:
        """The number of members besides the first that suspect independently."""
        return len(self.suspected_by) - 1

    def confirm(self, suspected_by: str) -> bool:
        """Record a suspicion; return whether it is a new independent one that still shortens the timeout."""
        if suspected_by in self.suspected_by or len(self.suspected_by) > CONFIRMATIONS:
            return False
        self.suspected_by.add(suspected_by)
        return True


def suspicion_timeout(live_count: int, confirmations: int, interval: float, health_multiplier: int) -> float:
    """Return the time from a suspicion to the member's death, in seconds.

    Args:
        live_count: number of members that are alive or suspected, including this server.
        confirmations: number of independent suspicions besides the first.
        interval: seconds between probes.
        health_multiplier: the factor from `LocalHealth`.
    """
    shortest = SUSPICION_MULTIPLIER * max(1.0, math.log10(max(2, live_count))) * interval * health_multiplier
    confirmed = min(CONFIRMATIONS, max(0, confirmations))
    progress = math.log(1 + confirmed) / math.log(1 + CONFIRMATIONS)
    return shortest * (1 + (MAX_TIMEOUT_MULTIPLIER - 1) * (1 - progress))
