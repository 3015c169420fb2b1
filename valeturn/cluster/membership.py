"""The cluster's membership: who is alive, suspected, dead or has left. No I/O.

After "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala), "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips, Currey)
and hashicorp's memberlist, which adds push-pull synchronization of whole member lists.

`receive` and `tick` return the messages to send; `take_changes` returns the changes of members since its last
call.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ..transport.seeded_random import SeededRandom
from .failure_detector import INDIRECT_PROBERS, PROBE_INTERVAL, FailureDetector, random_members
from .gossip import GossipQueue
from .limits import GOSSIP as MAX_UPDATES
from .limits import SYNCED
from .member_messages import (
    ACK,
    ALIVE,
    DEAD,
    GOSSIP,
    INDIRECT_ACK,
    LEFT,
    NACK,
    PING,
    PING_REQUEST,
    PUSH_PULL,
    SUSPECTED,
    MemberUpdate,
    OutgoingMessage,
    WireUpdate,
    read_update,
)
from .member_table import Effect, Member, MemberChange, MemberTable
from .suspicion import LocalHealth, Suspicion, suspicion_timeout

# Probe intervals between messages that carry only updates, while there are any: five rounds per interval, as
# in memberlist, so that a suspicion and its refutation spread well within the shortest suspicion timeout.
GOSSIP_INTERVALS = 0.2
GOSSIP_FANOUT = 2  # members that receive each such message
PUSH_PULL_INTERVAL = 30.0  # seconds between exchanges of the whole list, which repair what gossip missed


class MemberIdentity(NamedTuple):
    """The identity that a server announces."""

    name: str
    address: str  # host:port on which it accepts its peers
    zone: str
    generation: int  # larger than at any earlier start, as far as the server can tell


class Membership:
    """This server's view of the cluster's members, and its part of the membership protocol."""

    def __init__(
        self,
        identity: MemberIdentity,
        seeds: list[str] | tuple[str, ...],
        random_source: SeededRandom,
        now: float,
        probe_interval: float = PROBE_INTERVAL,
    ) -> None:
        """Start to join the cluster.

        Args:
            identity: this server's. If others know a larger generation of its name, it adopts one above that.
            seeds: addresses (host:port) of servers to join by.
            random_source: selects the members that are probed and that receive gossip.
            now: seconds of this server's clock.
            probe_interval: seconds between probes.
        """
        self.probe_interval = probe_interval
        self.local = Member(*identity, incarnation=0, state=ALIVE, since=now)
        self.table = MemberTable()
        self.suspicions: dict[str, Suspicion] = {}
        self.health = LocalHealth()
        self.gossip = GossipQueue()
        self._seeds = [seed for seed in seeds if seed != identity.address]
        self._random_source = random_source
        self._changes: list[MemberChange] = []
        self._outgoing: list[OutgoingMessage] = []
        self._leaving = False
        self.failure_detector = FailureDetector(
            self.table, self.health, random_source, self._send, now, probe_interval
        )
        self._next_push_pull_at = now + PUSH_PULL_INTERVAL * random_source.random()
        self._next_join_at = now
        self._next_gossip_at = now

    # ---- queries

    @property
    def members(self) -> dict[str, Member]:
        """All known members except this server, by name."""
        return self.table.by_name

    def alive(self) -> list[str]:
        """Return the sorted names of the members that are alive or suspected, including this server's."""
        return sorted([self.local.name, *(member.name for member in self.table.live())])

    def get(self, name: str) -> Member | None:
        """Return a member's record, also this server's own, or None if it is unknown."""
        return self.local if name == self.local.name else self.table.get(name)

    def take_changes(self) -> list[MemberChange]:
        """Return the changes since the last call."""
        taken = self._changes
        self._changes = []
        return taken

    def suspicion_timeout(self, confirmations: int) -> float:
        """Return the seconds from a suspicion to the member's death, given the independent confirmations."""
        return suspicion_timeout(
            1 + self.table.live_count(), confirmations, self.probe_interval, self.health.multiplier
        )

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Leave the cluster deliberately, and return the messages that announce it."""
        self._leaving = True
        incarnation = self.local.incarnation + 1
        self.local = self.local._replace(state=LEFT, incarnation=incarnation, since=now)
        self._outgoing = []
        self.gossip.enqueue(self.local)
        for member in self._random_members(INDIRECT_PROBERS):
            self._send(member, PING, [self.failure_detector.next_sequence()])
        return self._outgoing

    # ---- time

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Do what is due and return the messages to send; to be called about ten times a second."""
        self._outgoing = []
        if self._leaving:
            return self._outgoing
        self._expire_suspicions(now)
        self.failure_detector.expire_relayed(now)
        for name in self.table.forget_departed(now):
            self.gossip.discard(name)
        self._join_if_alone(now)
        unreachable = self.failure_detector.continue_probe(now)
        if unreachable is not None:
            suspected = unreachable._replace(state=SUSPECTED, suspected_by=self.local.name)
            self._apply(now, suspected.update())
        self.failure_detector.start_due_probe(now)
        self._gossip_if_due(now)
        self._push_pull_if_due(now)
        return self._outgoing

    def _expire_suspicions(self, now: float) -> None:
        for name, suspicion in list(self.suspicions.items()):
            member = self.table.by_name[name]
            if now - suspicion.since >= self.suspicion_timeout(suspicion.confirmations):
                self._apply(now, member._replace(state=DEAD).update())
            elif now - suspicion.last_ping_at >= self.probe_interval:
                # Gossip may miss the member, which could then not refute the suspicion: ping it directly.
                suspicion.last_ping_at = now
                self.failure_detector.ping(member)

    def _join_if_alone(self, now: float) -> None:
        if now < self._next_join_at or self.table.live_count():
            return
        self._next_join_at = now + self.probe_interval * (1 + self._random_source.random())
        for seed in self._seeds:
            self._join_by(seed)

    def _gossip_if_due(self, now: float) -> None:
        if not self.gossip or now < self._next_gossip_at:
            return
        self._next_gossip_at = now + GOSSIP_INTERVALS * self.probe_interval
        for member in self._random_members(GOSSIP_FANOUT):
            self._send(member, GOSSIP, [])

    def _push_pull_if_due(self, now: float) -> None:
        if now < self._next_push_pull_at:
            return
        # The interval varies by a quarter up and down, so that servers are not synchronized.
        self._next_push_pull_at = now + PUSH_PULL_INTERVAL * (0.75 + 0.5 * self._random_source.random())
        for member in self._random_members(1):
            self._send_member_list(member, wants_reply=True)
        self._join_by_unknown_seed()

    def _join_by_unknown_seed(self) -> None:
        """Join by a seed that is not known to be alive: a long partition makes each side forget the other."""
        live_addresses = {member.address for member in self.table.live()}
        lost = [seed for seed in self._seeds if seed not in live_addresses]
        if lost:
            self._join_by(lost[int(self._random_source.random() * len(lost))])

    def _join_by(self, seed: str) -> None:
        fields = [True, self._member_list()[:SYNCED], self._piggyback(None)]
        self._outgoing.append(OutgoingMessage(None, seed, PUSH_PULL, fields))

    # ---- messages

    def receive(
        self, now: float, sender: str, generation: int, kind: str, fields: list[Any]
    ) -> list[OutgoingMessage]:
        """Handle a peer's message and return the messages to send; malformed messages are ignored.

        Args:
            now: seconds of this server's clock.
            sender: the peer's name.
            generation: the peer's generation; messages of its earlier starts are ignored.
            kind: one of KINDS; others are ignored.
            fields: the received fields, unchecked; the last one is the list of updates.
        """
        self._outgoing = []
        handler = self.KINDS.get(kind)
        if handler is None or self._leaving or sender == self.local.name:
            return self._outgoing
        known = self.table.get(sender)
        if known is not None and generation < known.generation:
            return self._outgoing
        if not fields or not isinstance(fields[-1], list):
            return self._outgoing
        self._apply_all(now, fields[-1][:MAX_UPDATES])
        handler(self, now, sender, fields[:-1])
        return self._outgoing

    def _on_ping(self, now: float, sender: str, fields: list[Any]) -> None:
        self.failure_detector.receive_ping(sender, fields)

    def _on_ping_request(self, now: float, sender: str, fields: list[Any]) -> None:
        self.failure_detector.receive_ping_request(now, sender, fields)

    def _on_ack(self, now: float, sender: str, fields: list[Any]) -> None:
        self.failure_detector.receive_ack(sender, fields)

    def _on_indirect_ack(self, now: float, sender: str, fields: list[Any]) -> None:
        self.failure_detector.receive_indirect_ack(fields)

    def _on_nack(self, now: float, sender: str, fields: list[Any]) -> None:
        self.failure_detector.receive_nack(fields)

    def _on_push_pull(self, now: float, sender: str, fields: list[Any]) -> None:
        """Merge a peer's member list, and reply with this server's if requested."""
        match fields:
            case [wants_reply, list(updates)]:
                self._apply_all(now, updates[:SYNCED])
            case _:
                return
        member = self.table.get(sender)
        if wants_reply is True and member is not None:
            self._send_member_list(member, wants_reply=False)

    def _on_gossip(self, now: float, sender: str, fields: list[Any]) -> None:
        """Do nothing: the updates of a message are applied before its handler is called."""

    KINDS: dict[str, Callable[[Membership, float, str, list[Any]], None]] = {
        PING: _on_ping,
        PING_REQUEST: _on_ping_request,
        ACK: _on_ack,
        INDIRECT_ACK: _on_indirect_ack,
        NACK: _on_nack,
        PUSH_PULL: _on_push_pull,
        GOSSIP: _on_gossip,
    }

    # ---- updates

    def _apply_all(self, now: float, values: list[Any]) -> None:
        for value in values:
            update = read_update(value)
            if update is not None:
                self._apply(now, update)

    def _apply(self, now: float, update: MemberUpdate) -> None:
        """Apply a statement about a member: disseminate it, and start or end its suspicion."""
        if update.name == self.local.name:
            self._refute(update)
            return
        change = self.table.apply(now, update)
        if change is None:
            return
        if change.effect is Effect.CONFIRMED:
            if self.suspicions[change.name].confirm(update.suspected_by):
                self.gossip.enqueue(change.member)
            return
        self.gossip.enqueue(change.member)
        if change.member.state == SUSPECTED:
            self.suspicions[change.name] = Suspicion(now, update.suspected_by)
        else:
            self.suspicions.pop(change.name, None)
        if change.effect is not Effect.RECORDED:
            self._changes.append(change)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute a statement about this server, or report another server that uses its name."""
        local = self.local
        if (
            update.address != local.address
            and update.state in (ALIVE, SUSPECTED)
            and update.generation >= local.generation
        ):
            other = local._replace(address=update.address, generation=update.generation)
            self._changes.append(MemberChange(local.name, Effect.NAME_CONFLICT, other))
            return
        if update.generation > local.generation:
            # The update is about an earlier start: the clock for generations was set back since.
            self.local = local._replace(generation=update.generation + 1, incarnation=0)
            self.gossip.enqueue(self.local)
        elif (
            update.generation == local.generation
            and update.incarnation >= local.incarnation
            and update.state != ALIVE
        ):
            self.local = local._replace(incarnation=update.incarnation + 1)
            self.health.adjust(1)
            self.gossip.enqueue(self.local)

    # ---- sending

    def _random_members(self, count: int) -> list[Member]:
        return random_members(self.table, count, self._random_source)

    def _member_list(self) -> list[WireUpdate]:
        return [self.local.to_wire(), *(member.to_wire() for member in self.members.values())]

    def _send_member_list(self, member: Member, wants_reply: bool) -> None:
        """Send all members in messages of SYNCED each; the first may request the other's list."""
        updates = self._member_list()
        for start in range(0, len(updates), SYNCED):
            self._send(member, PUSH_PULL, [wants_reply and start == 0, updates[start : start + SYNCED]])

    def _send(self, member: Member, kind: str, fields: list[Any], recipient: Member | None = None) -> None:
        fields = [*fields, self._piggyback(recipient)]
        self._outgoing.append(OutgoingMessage(member.name, member.address, kind, fields))

    def _piggyback(self, recipient: Member | None) -> list[WireUpdate]:
        return self.gossip.piggyback(self.local, len(self.table), recipient)
