"""The queue of updates to disseminate, which are piggybacked on other messages.

SWIM's infection-style dissemination (section 4.1): each update is sent a number of times that grows with the
logarithm of the cluster's size, the least often sent first.
"""

from __future__ import annotations

import math

from .limits import GOSSIP
from .member_messages import SUSPECTED, WireUpdate
from .member_table import Member

RETRANSMIT_MULTIPLIER = 4.0  # transmissions of an update, times the base-10 logarithm of the member count


class _Broadcast:
    """An update and the number of times it was sent."""

    __slots__ = ("transmissions", "update")

    def __init__(self, update: WireUpdate) -> None:
        self.transmissions = 0
        self.update = update


class GossipQueue:
    """The latest update about each member, until it was sent often enough."""

    def __init__(self) -> None:
        self._broadcasts: dict[str, _Broadcast] = {}

    def __len__(self) -> int:
        return len(self._broadcasts)

    def enqueue(self, member: Member) -> None:
        """Queue a member's record for dissemination, replacing an earlier one."""
        self._broadcasts[member.name] = _Broadcast(member.to_wire())

    def discard(self, name: str) -> None:
        """Stop disseminating the update about a member."""
        self._broadcasts.pop(name, None)

    def piggyback(self, local: Member, member_count: int, recipient: Member | None) -> list[WireUpdate]:
        """Return the updates for one message, at most GOSSIP, and count them as sent.

        A suspicion of the recipient is always included, so that the recipient can refute it immediately
        (Lifeguard's buddy system).

        Args:
            local: this server's own record, which is always first.
            member_count: the number of other members.
            recipient: the probed member, or None where its own state need not be first.
        """
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(2 + member_count))
        chosen = sorted(
            self._broadcasts.items(),
            key=lambda item: (recipient is None or item[0] != recipient.name, item[1].transmissions),
        )[: GOSSIP - 1]
        for name, broadcast in chosen:
            broadcast.transmissions += 1
            if broadcast.transmissions >= limit:
                del self._broadcasts[name]
        chosen = [(name, broadcast) for name, broadcast in chosen if name != local.name]
        updates = [broadcast.update for _, broadcast in chosen]
        if (
            recipient is not None
            and recipient.state == SUSPECTED
            and all(name != recipient.name for name, _ in chosen)
        ):
            updates = [recipient.to_wire(), *updates[: GOSSIP - 2]]
        return [local.to_wire(), *updates]
