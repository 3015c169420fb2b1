"""SWIM's failure detector: pings one member each interval, directly and then through others.

After SWIM (section 3.1 and, for the randomized round-robin order, 4.3) and Lifeguard (the nack, and the local
health multiplier that stretches interval and timeout while this server's own probes fail).
"""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from ..transport.seeded_random import SeededRandom
from .limits import MEMBERS
from .member_messages import ACK, ALIVE, INDIRECT_ACK, NACK, PING, PING_REQUEST, SUSPECTED, is_sequence
from .member_table import Member, MemberTable
from .suspicion import LocalHealth

PROBE_INTERVAL = 1.0  # seconds between probes, as in both papers
# Fraction of an interval allowed for a direct answer: ten round trips of a slow network, which leaves time
# for the indirect probes.
DIRECT_TIMEOUT_SHARE = 0.3
INDIRECT_PROBERS = 3  # members that are requested to probe; according to SWIM, more gain little


class Sender(Protocol):
    """Queues a message to a member, with updates piggybacked on it."""

    def __call__(self, member: Member, kind: str, fields: list[Any], recipient: Member | None = None) -> None:
        """Queue the message; the recipient's own state is first among the updates."""


class Probe:
    """This server's current probe of one member."""

    __slots__ = ("deadline", "indirect_at", "indirect_sent", "member_name", "nacks", "requests", "sequence")

    def __init__(self, sequence: int, member_name: str, indirect_at: float, deadline: float) -> None:
        self.sequence = sequence
        self.member_name = member_name
        self.indirect_at = indirect_at  # seconds of this server's clock
        self.deadline = deadline  # seconds of this server's clock
        self.indirect_sent = False
        self.requests = 0  # number of ping requests sent
        self.nacks = 0


class RelayedProbe(NamedTuple):
    """A probe on behalf of another member."""

    requester: str
    requester_sequence: int
    deadline: float  # seconds of this server's clock
    target: str


def shuffled(names: list[str], random_source: SeededRandom) -> list[str]:
    """Return the names in a random order that depends only on the set of names and the random source."""
    names = sorted(names)
    for index in range(len(names) - 1, 0, -1):
        other = int(random_source.random() * (index + 1))
        names[index], names[other] = names[other], names[index]
    return names


def random_members(
    table: MemberTable, count: int, random_source: SeededRandom, without: str | None = None
) -> list[Member]:
    """Return up to `count` random members that are alive, except the one named `without`."""
    names = [
        member.name for member in table.by_name.values() if member.state == ALIVE and member.name != without
    ]
    return [table.by_name[name] for name in shuffled(names, random_source)[:count]]


class FailureDetector:
    """Probes members in turn, and relays probes for others."""

    def __init__(
        self,
        table: MemberTable,
        health: LocalHealth,
        random_source: SeededRandom,
        send: Sender,
        now: float,
        interval: float,
    ) -> None:
        self.interval = interval  # seconds between probes, while this server is healthy
        self.sequence = 0  # of the last ping
        self.relayed_probes: dict[int, RelayedProbe] = {}  # by the sequence number of this server's ping
        self._table = table
        self._health = health
        self._random_source = random_source
        self._send = send
        self._probe: Probe | None = None
        self._next_probe_at = now + interval * random_source.random()
        self._probe_order: list[str] = []

    def ping(self, member: Member) -> int:
        """Ping a member, with its own state first among the updates, and return the sequence number."""
        sequence = self.next_sequence()
        self._send(member, PING, [sequence], member)
        return sequence

    def next_sequence(self) -> int:
        """Return the sequence number for the next ping."""
        self.sequence += 1
        return self.sequence

    def continue_probe(self, now: float) -> Member | None:
        """Continue the current probe: send indirect probes if the direct one is late; end it at its deadline.

        Returns:
            A member to suspect, because neither this server nor others got an answer from it; otherwise None.
        """
        probe = self._probe
        if probe is None:
            return None
        member = self._table.get(probe.member_name)
        if member is None or member.state not in (ALIVE, SUSPECTED):
            self._probe = None
        elif now >= probe.deadline:
            self._probe = None
            # A nack proves that its sender was reachable; a missing one indicates a fault of this server.
            self._health.adjust(1 + max(0, probe.requests - probe.nacks) if probe.requests else 1)
            return member
        elif not probe.indirect_sent and now >= probe.indirect_at:
            self._request_indirect_probes(probe, member)
        return None

    def start_due_probe(self, now: float) -> None:
        """Start the next probe if none is running and the interval is over."""
        if self._probe is None and now >= self._next_probe_at:
            self._start_probe(now)

    def expire_relayed(self, now: float) -> None:
        """Send a nack for each relayed probe that was not acknowledged in time."""
        expired = [
            (number, relayed) for number, relayed in self.relayed_probes.items() if now >= relayed.deadline
        ]
        for number, relayed in expired:
            del self.relayed_probes[number]
            requester = self._table.get(relayed.requester)
            if requester is not None:
                self._send(requester, NACK, [relayed.requester_sequence])

    # ---- the current probe

    def _stretched_interval(self) -> float:
        return self.interval * self._health.multiplier

    def _start_probe(self, now: float) -> None:
        """Probe the next member of a random order, which is redrawn each round and has each member once."""
        interval = self._stretched_interval()
        self._next_probe_at = now + interval
        while self._probe_order:
            member = self._table.get(self._probe_order.pop())
            if member is not None and member.state in (ALIVE, SUSPECTED):
                sequence = self.ping(member)
                indirect_at = now + DIRECT_TIMEOUT_SHARE * interval
                self._probe = Probe(sequence, member.name, indirect_at, now + interval)
                return
        self._probe_order = shuffled([member.name for member in self._table.live()], self._random_source)

    def _request_indirect_probes(self, probe: Probe, member: Member) -> None:
        probe.indirect_sent = True
        for prober in random_members(self._table, INDIRECT_PROBERS, self._random_source, member.name):
            probe.requests += 1
            self._send(prober, PING_REQUEST, [probe.sequence, member.name, member.address])

    def _probe_succeeded(self) -> None:
        self._probe = None
        self._health.adjust(-1)

    # ---- messages

    def receive_ping(self, sender: str, fields: list[Any]) -> None:
        """Acknowledge a ping."""
        member = self._table.get(sender)
        if member is not None and fields and is_sequence(fields[0]):
            self._send(member, ACK, [fields[0]])

    def receive_ping_request(self, now: float, sender: str, fields: list[Any]) -> None:
        """Probe a member on behalf of one that can't reach it; an ack or a nack is sent back."""
        match fields:
            case [sequence, str(name), _address] if is_sequence(sequence):
                target = self._table.get(name)
            case _:
                return
        if target is None or len(self.relayed_probes) >= MEMBERS:
            return
        deadline = now + DIRECT_TIMEOUT_SHARE * self.interval
        self.relayed_probes[self.ping(target)] = RelayedProbe(sender, sequence, deadline, target.name)

    def receive_ack(self, sender: str, fields: list[Any]) -> None:
        """Finish this server's probe, or forward the ack to the member that requested the probe."""
        sequence = fields[0] if fields else None
        if not is_sequence(sequence):
            return
        relayed = self.relayed_probes.get(sequence)
        if relayed is None:
            probe = self._probe
            if probe is not None and (sequence, sender) == (probe.sequence, probe.member_name):
                self._probe_succeeded()
        elif relayed.target == sender:
            del self.relayed_probes[sequence]
            requester = self._table.get(relayed.requester)
            if requester is not None:
                self._send(requester, INDIRECT_ACK, [relayed.requester_sequence, relayed.target])

    def receive_indirect_ack(self, fields: list[Any]) -> None:
        """Finish this server's probe: the probed member answered another one."""
        if self._probe is not None and fields == [self._probe.sequence, self._probe.member_name]:
            self._probe_succeeded()

    def receive_nack(self, fields: list[Any]) -> None:
        """Count a nack: the requested member is reachable, but the probed one did not answer it."""
        if self._probe is not None and fields == [self._probe.sequence]:
            self._probe.nacks += 1
