"""Splits the concurrency limit of a shared dependency among servers, without exceeding it in sum. No I/O.

Each server has a guaranteed quota: the limit divided by the maximum number of servers. The unused part of one
server's quota is lent to others that need more, for a limited time. Two rules keep the sum below the limit
during any loss, delay, pause and change of leader:

- *Reduced* quota binds the server from when it reads the grant, for twice the grant's duration by its own
  clock. The leader counts on it only once the server has confirmed it, and only that long from when the grant
  was sent.
- *Borrowed* quota counts from when the server sent its request, by its own clock, which is before the leader
  decided: a grant that arrives late has expired by then. A new leader lends nothing until all that an earlier
  one may have lent has expired.

A server that has just started may have accepted a reduced quota in an earlier incarnation: until that grant
has expired it uses only a fraction that is never lent. Fencing: a server accepts no grant of a leader with a
lower token than the highest one it has received.

All timestamps are in seconds of the local clock, amounts in concurrent calls.
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum
from typing import NamedTuple

from .raft import CLOCK_DRIFT

# Fraction of the guaranteed quota that is never lent: a server that has just started, or needs nothing, may
# always use it.
NEVER_LENT = 0.25
# Target quota as a multiple of the need: at steady load the need rises by at most a quarter between requests.
TARGET_MARGIN = 1.25
# A server that sent no request for this many grant durations counts as unknown.
UNKNOWN_AFTER = 3.0
# Number of the latest requests whose grants are accepted.
REMEMBERED_REQUESTS = 8
# Unconfirmed grants to one server; further requests are answered once some have expired.
MAX_OUTSTANDING = 8
# Targets are computed this many times within the duration of a grant.
TARGETS_PER_DURATION = 8


class QuotaSource(Enum):
    """The origin of a server's quota. The values are shown by `valeturn fleet status`."""

    STARTING = "starting"
    GUARANTEED = "sure"
    REDUCED = "less"
    BORROWED = "more"


class GrantId(NamedTuple):
    """Identifies a grant; a later one compares greater."""

    fencing_token: int
    number: int


NO_GRANT = GrantId(0, 0)


class QuotaRequest(NamedTuple):
    """A server's request to the leader."""

    need: float
    sent_at: float  # by the server's own clock; echoed in the grant
    current_grant: GrantId  # the grant that the server uses now, which this confirms


class QuotaGrant(NamedTuple):
    """The leader's answer to a request."""

    fencing_token: int
    number: int  # increases with each grant of a leader
    amount: float
    request_sent_at: float  # by the server's own clock, as in its request
    duration: float  # seconds

    def is_valid(self, longest: float) -> bool:
        """Return whether the amount and the duration are in range."""
        return math.isfinite(self.amount) and self.amount >= 0 and 0 < self.duration <= longest


def reduced_duration(duration: float) -> float:
    """Return the seconds, by its own clock, for which a server keeps a reduced quota.

    This is at least twice the grant's duration by any clock.
    """
    return 2 * duration * (1 + CLOCK_DRIFT)


class QuotaClient:
    """The server's side: the quota that it may use now."""

    def __init__(self, now: float, guaranteed: float, grant_duration: float) -> None:
        """Start with the quota that is never lent.

        Args:
            now: the time.
            guaranteed: the server's even part of the limit.
            grant_duration: seconds of the longest grant; the same on all servers.
        """
        self.guaranteed = guaranteed
        self.grant_duration = grant_duration
        self.current_grant = NO_GRANT
        self.source = QuotaSource.STARTING
        self.amount = NEVER_LENT * guaranteed
        self.valid_until = now + reduced_duration(grant_duration)
        self.request_times: deque[float] = deque(maxlen=REMEMBERED_REQUESTS)
        self.stale_count = 0

    def available(self, now: float) -> float:
        """Return how many calls may be in progress now; to be called before each use."""
        # The guaranteed quota is always valid. The source is not checked, as this runs for each call.
        if now >= self.valid_until:
            self._use(QuotaSource.GUARANTEED, self.guaranteed, math.inf)
        return self.amount

    def request(self, now: float, need: float) -> QuotaRequest:
        """Return the request to send to the leader."""
        self.available(now)
        self.request_times.append(now)
        return QuotaRequest(float(need), now, self.current_grant)

    def accept(self, now: float, grant: QuotaGrant) -> bool:
        """Handle a grant and return whether it is accepted.

        A grant is rejected if a later leader has sent one, if it is older than the current one, if it answers
        none of the latest requests, or if it arrives after its whole duration.
        """
        if not grant.is_valid(self.grant_duration):
            return False
        if grant.fencing_token < self.current_grant.fencing_token:
            self.stale_count += 1
            return False
        grant_id = GrantId(grant.fencing_token, grant.number)
        if grant_id <= self.current_grant or grant.request_sent_at not in self.request_times:
            return False
        if now >= grant.request_sent_at + grant.duration:
            return False
        if grant.amount > self.guaranteed:
            self._use(QuotaSource.BORROWED, grant.amount, grant.request_sent_at + grant.duration)
        elif grant.amount < self.guaranteed:
            self._use(QuotaSource.REDUCED, grant.amount, now + reduced_duration(grant.duration))
        else:
            self._use(QuotaSource.GUARANTEED, self.guaranteed, math.inf)
        self.current_grant = grant_id
        return True

    def _use(self, source: QuotaSource, amount: float, valid_until: float) -> None:
        self.source = source
        self.amount = amount
        self.valid_until = valid_until


class SentGrant(NamedTuple):
    """A grant that a server may go by, or come to go by."""

    number: int
    amount: float
    sent_at: float


class ServerQuota:
    """What the leader knows of one server."""

    __slots__ = (
        "confirmed_amount",
        "confirmed_until",
        "need",
        "reduced_after",
        "requested_at",
        "sent",
    )

    def __init__(self, now: float) -> None:
        self.need = 0.0
        self.requested_at = now
        # The reduced quota that the server confirmed, or None where it may use its guaranteed one.
        self.confirmed_amount: float | None = None
        self.confirmed_until = 0.0
        # Only a reduced grant with a higher number counts: after this one the server may have come back to
        # its guaranteed quota.
        self.reduced_after = 0
        self.sent: list[SentGrant] = []

    def forget_reduction(self, reduced_after: int) -> None:
        """Assume the guaranteed quota until a grant with a higher number is confirmed."""
        self.confirmed_amount = None
        self.reduced_after = reduced_after


class QuotaAllocator:
    """The leader's side, from the start of its term."""

    def __init__(
        self, now: float, fencing_token: int, limit: float, max_servers: int, grant_duration: float
    ) -> None:
        """Start without knowing any server.

        Args:
            now: the time.
            fencing_token: the token of the singleton task under which the limit is split.
            limit: calls that may be in progress on all servers together.
            max_servers: the maximum number of servers.
            grant_duration: seconds of each grant.
        """
        self.fencing_token = fencing_token
        self.limit = limit
        self.max_servers = max_servers
        self.grant_duration = grant_duration
        self.guaranteed = limit / max_servers
        self.number = 0
        self.servers: dict[str, ServerQuota] = {}
        # Until then grants of an earlier leader may still be valid.
        self.lending_from = now + grant_duration * (1 + CLOCK_DRIFT)
        self.targets: dict[str, float] = {}
        self.targets_computed_at = -math.inf

    def handle_request(self, now: float, name: str, request: QuotaRequest) -> QuotaGrant | None:
        """Return a grant, or None where none is possible now and the server keeps its current quota.

        It is also None until all that an earlier leader lent has expired: even returning the guaranteed quota
        would take it from the server that borrowed it.
        """
        server = self._server(now, name)
        if server is None:
            return None
        server.need = max(0.0, request.need)
        server.requested_at = now
        self._confirm(server, request.current_grant)
        self._expire(now, server)
        if len(server.sent) >= MAX_OUTSTANDING or now < self.lending_from:
            return None
        amount = self._amount(now, name, server)
        self.number += 1
        server.sent.append(SentGrant(self.number, amount, now))
        return QuotaGrant(self.fencing_token, self.number, amount, request.sent_at, self.grant_duration)

    def upper_limit(self, now: float, name: str) -> float:
        """Return the most that a server may use at any time within the next grant duration."""
        server = self.servers.get(name)
        if server is None:
            return self.guaranteed
        upper_limit = self.guaranteed
        horizon = now + self.grant_duration * (1 + CLOCK_DRIFT)
        if server.confirmed_amount is not None and server.confirmed_until >= horizon:
            upper_limit = server.confirmed_amount
        for grant in server.sent:
            if now < self._expires_at(grant):
                upper_limit = max(upper_limit, grant.amount)
        return upper_limit

    def committed(self, now: float) -> float:
        """Return the most that all servers, known or not, may use within the next grant duration."""
        known = sum(self.upper_limit(now, name) for name in self.servers)
        return known + self.guaranteed * (self.max_servers - len(self.servers))

    def status(self, now: float) -> dict[str, object]:
        """Return what `valeturn fleet status` shows; its keys must not change."""
        return {
            "servers": len(self.servers),
            "committed": round(self.committed(now), 3),
            "cap": self.limit,
        }

    def _server(self, now: float, name: str) -> ServerQuota | None:
        """Return the record of a server, creating it for a new one; None at the maximum number of servers."""
        server = self.servers.get(name)
        if server is not None:
            return server
        if len(self.servers) >= self.max_servers:
            self._forget_unknown(now)
        if len(self.servers) >= self.max_servers:
            return None
        server = self.servers[name] = ServerQuota(now)
        return server

    def _confirm(self, server: ServerQuota, current_grant: GrantId) -> None:
        """Handle a server's report of the grant that it uses.

        A grant of an earlier leader, or none, confirms nothing: the server may use its guaranteed quota.
        """
        token, number = current_grant
        if token != self.fencing_token:
            return
        grant = next((sent for sent in server.sent if sent.number == number), None)
        if grant is None:
            return
        server.sent = [sent for sent in server.sent if sent.number >= number]
        if grant.amount >= self.guaranteed:
            server.confirmed_amount = None
        elif number > server.reduced_after:
            server.confirmed_amount = grant.amount
            server.confirmed_until = grant.sent_at + 2 * self.grant_duration
            server.sent.remove(grant)

    def _expire(self, now: float, server: ServerQuota) -> None:
        """Remove the grants that can no longer be accepted.

        Such a grant may have been accepted, and have ended, without any message from the server.
        """
        for grant in [sent for sent in server.sent if now >= self._expires_at(sent)]:
            server.sent.remove(grant)
            server.forget_reduction(max(server.reduced_after, grant.number))

    def _expires_at(self, grant: SentGrant) -> float:
        """Return the time by this clock after which a grant can't be accepted and its loan is over."""
        return grant.sent_at + self.grant_duration * (1 + CLOCK_DRIFT)

    def _amount(self, now: float, name: str, server: ServerQuota) -> float:
        target = self._current_targets(now).get(name, self.guaranteed)
        amount = min(target, self.limit - self.committed(now) + self.upper_limit(now, name))
        if amount >= self.guaranteed:  # from now on it may return to its guaranteed quota at any time
            server.forget_reduction(self.number + 1)
            return amount
        # The rest of its guaranteed quota stays lent to others for at most one duration.
        return max(NEVER_LENT * self.guaranteed, amount)

    def _current_targets(self, now: float) -> dict[str, float]:
        """Return the target of each server by name, recomputed several times within a grant's duration."""
        is_recent = now - self.targets_computed_at < self.grant_duration / TARGETS_PER_DURATION
        if not is_recent or len(self.targets) != len(self.servers):
            self.targets_computed_at = now
            self.targets = self._compute_targets(now)
        return self.targets

    def _compute_targets(self, now: float) -> dict[str, float]:
        """Return for each server its need with a margin, reduced to an even share where the sum is too much.

        This is max-min fairness: the smallest needs are met first. The rest is distributed evenly.
        """
        known = {
            name: server
            for name, server in self.servers.items()
            if now - server.requested_at <= UNKNOWN_AFTER * self.grant_duration
        }
        remaining = self.limit - self.guaranteed * (self.max_servers - len(known))
        least = NEVER_LENT * self.guaranteed
        wanted = sorted((max(least, TARGET_MARGIN * server.need), name) for name, server in known.items())
        targets = {}
        servers_left = len(wanted)
        for amount, name in wanted:
            targets[name] = min(amount, remaining / servers_left)
            remaining = remaining - targets[name]
            servers_left -= 1
        spare = remaining / len(known) if known else 0.0
        return {name: target + spare for name, target in targets.items()}

    def _forget_unknown(self, now: float) -> None:
        """Remove servers whose last request is so old that all their grants have expired."""
        oldest = max(UNKNOWN_AFTER * self.grant_duration, 2 * reduced_duration(self.grant_duration))
        for name, server in list(self.servers.items()):
            if now - server.requested_at > oldest:
                del self.servers[name]
