"""This server's quota of calls on the shared dependency, and on the leader the split of the limit."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from .fencing import FencingTokens
from .quota import GrantId, QuotaAllocator, QuotaClient, QuotaGrant, QuotaRequest
from .replicated_state import ClusterState
from .task_options import SingletonTaskOptions

# Kinds of messages on the wire; they must not change.
REQUEST_MESSAGE = "need"
GRANT_MESSAGE = "share"
# Names of counters, which are also keys of the status; they must not change.
ACCEPTED_COUNTER = "fleet.shares.taken"
STALE_COUNTER = "fleet.shares.stale"
# Requests within the duration of a grant: several, so that one may be lost.
REQUESTS_PER_GRANT = 4
# Duration of a grant in leases: within it a lost leader is usually replaced.
LEASES_PER_GRANT = 2
# The interval varies by this fraction up and down, so that servers do not send simultaneously.
JITTER = 0.2
# A change by more than this fraction of the quota is logged.
LOGGED_CHANGE = 0.1


class ClusterNode(Protocol):
    """The part of this server's cluster node that the quota uses."""

    name: str
    options: Any
    random_source: Any
    fencing_tokens: FencingTokens
    clock: Callable[[], float]

    def acts(self, name: str) -> int | None:
        """Return the fencing token under which this server may act for a singleton task now."""

    def known_state(self) -> tuple[int, ClusterState, str | None]:
        """Return the term, the replicated state and the leader that are known here."""

    def send(self, name: str, kind: str, fields: list[Any]) -> None:
        """Send a message to another server."""

    def on_share(self, now: float, sender: str, said: list[Any]) -> None:
        """Receive a grant."""

    def count(self, name: str) -> None:
        """Add one to a counter."""

    def log(self, event: str, fields: Mapping[str, object]) -> None:
        """Write an event to the log."""


class CallQuota:
    """Both sides of the split of the calls, on one server. Timestamps are in seconds of the node's clock."""

    def __init__(
        self, node: ClusterNode, name: str, options: SingletonTaskOptions, need: Callable[[], float]
    ) -> None:
        """Start without a grant.

        Args:
            node: this server's cluster node.
            name: the singleton task that splits the calls.
            options: the task's options, which include a limit.
            need: returns the number of concurrent calls that this server could use now.
        """
        self.node = node
        self.name = name
        self.options = options
        self.need = need
        self.limit = options.call_limit or 0  # task_options checks that there is one
        self.max_servers = node.options.largest
        self.grant_duration = max(
            REQUESTS_PER_GRANT * options.request_interval, LEASES_PER_GRANT * node.options.lease
        )
        self.client = QuotaClient(node.clock(), self.limit / self.max_servers, self.grant_duration)
        self.allocator: QuotaAllocator | None = None  # while this server is the leader
        self.next_request_at = 0.0

    def available(self) -> float:
        """Return how many calls this server may have in progress now."""
        return self.client.available(self.node.clock())

    def tick(self, now: float) -> None:
        """Send a request to the leader when the next one is due."""
        if now < self.next_request_at:
            return
        spread = 1 - JITTER + 2 * JITTER * self.node.random_source.random()
        self.next_request_at = now + self.options.request_interval * spread
        need, sent_at, current_grant = self.client.request(now, self.need())
        leader = self._lease_holder()
        if leader == self.node.name:
            self.on_request(now, leader, need, sent_at, current_grant)
        elif leader is not None:
            self.node.send(leader, REQUEST_MESSAGE, [need, sent_at, list(current_grant)])

    def on_request(
        self, now: float, sender: str, need: float, sent_at: float, current_grant: Sequence[int]
    ) -> None:
        """Answer a request; a server that is not the leader, or no longer, sends nothing.

        Raises:
            TypeError, ValueError, IndexError: a field of the message has a wrong type or form.
        """
        token = self.node.acts(self.name)
        if token is None:
            self.allocator = None
            return
        if self.allocator is None or self.allocator.fencing_token != token:
            self.allocator = QuotaAllocator(now, token, self.limit, self.max_servers, self.grant_duration)
        # The fields are unchecked input from another server: the conversions raise where one is wrong.
        confirmed = GrantId(int(current_grant[0]), int(current_grant[1]))
        request = QuotaRequest(float(need), float(sent_at), confirmed)
        grant = self.allocator.handle_request(now, sender, request)
        if grant is None or self.node.acts(self.name) != token:
            return
        if sender == self.node.name:
            self.node.on_share(now, sender, list(grant))
        else:
            self.node.send(sender, GRANT_MESSAGE, [list(grant)])

    def on_grant(self, now: float, sender: str, fields: list[Any]) -> None:
        """Receive a grant.

        Raises:
            TypeError, ValueError: a field of the message has a wrong type or form.
        """
        token, number, *rest = fields
        grant = QuotaGrant(int(token), int(number), *map(float, rest))
        stale_before = self.client.stale_count
        amount_before = self.client.available(now)
        if self.client.accept(now, grant):
            self.node.fencing_tokens.accept(self.name, grant.fencing_token)
            self.node.count(ACCEPTED_COUNTER)
            if abs(self.client.amount - amount_before) > LOGGED_CHANGE * amount_before:
                self._log_change(grant.fencing_token)
        elif self.client.stale_count > stale_before:
            self.node.count(STALE_COUNTER)

    def status(self, now: float) -> dict[str, object]:
        """Return the quota's part of `valeturn fleet status`; its keys must not change."""
        return {
            "calls": self.client.available(now),
            "from": self.client.source.value,
            "stale": self.client.stale_count,
        }

    def allocator_status(self, now: float) -> dict[str, object] | None:
        """Return the split's part of `valeturn fleet status`, or None on a server that does not lead."""
        return None if self.allocator is None else self.allocator.status(now)

    def _lease_holder(self) -> str | None:
        """Return the server that is known here to split the limit, or else the leader."""
        _, replicated_state, leader = self.node.known_state()
        lease = replicated_state.task_lease(self.name)
        return leader if lease is None else lease.holder

    def _log_change(self, fencing_token: int) -> None:
        fields = {
            "calls": self.client.amount,
            "source": self.client.source.value,
            "fencing_token": fencing_token,
        }
        self.node.log("quota_changed", fields)
