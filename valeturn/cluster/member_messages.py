"""The messages of the membership protocol: kinds on the wire and fields.

The kind strings and the order of the fields are those of every released version, so they must not change; the
names of the constants are the terms of SWIM and of hashicorp's memberlist.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeGuard

from .limits import ADDRESS

# Kinds of messages on the wire.
PING = "ping"
PING_REQUEST = "ask"  # "probe that member for me", SWIM's ping-req
ACK = "ack"
INDIRECT_ACK = "heard"  # the answer to a ping request when the member acknowledged
NACK = "nack"  # the answer to a ping request when it did not, after Lifeguard
PUSH_PULL = "sync"  # a part of the sender's whole member list
GOSSIP = "news"  # nothing but piggybacked updates

# States of a member: plain integers, as they are sent on the wire.
UNKNOWN = 0  # never on the wire: no record of the member
ALIVE = 1
SUSPECTED = 2
DEAD = 3
LEFT = 4

COUNTER_LIMIT = (
    2**62
)  # generations and incarnations are below this, so that an incremented one still fits 64 bits

WireUpdate = list[Any]  # a packed member update; see `MemberUpdate`


class MemberUpdate(NamedTuple):
    """What one server states about a member; the order of the fields is their order on the wire."""

    name: str
    address: str  # host:port on which the member accepts its peers
    zone: str
    suspected_by: str  # the member whose own probe failed; empty unless the state is SUSPECTED
    generation: int  # of the member's process: larger at each start
    incarnation: int  # SWIM's: the member increments it to refute a suspicion
    state: int


class OutgoingMessage(NamedTuple):
    """A message to be sent; the name is None where only a seed's address is known."""

    name: str | None
    address: str
    kind: str
    fields: list[Any]


def read_update(value: object) -> MemberUpdate | None:
    """Return the update that a received value encodes, or None if it is malformed."""
    if not isinstance(value, list) or len(value) != len(MemberUpdate._fields):
        return None
    update = MemberUpdate(*value)
    texts = (update.name, update.address, update.zone, update.suspected_by)
    if not all(isinstance(text, str) and len(text) <= ADDRESS for text in texts):
        return None
    if not update.name or not update.address:
        return None
    if not _is_counter(update.generation) or not _is_counter(update.incarnation):
        return None
    if update.state not in (ALIVE, SUSPECTED, DEAD, LEFT):
        return None
    return update


def is_sequence(value: object) -> TypeGuard[int]:
    """Return whether a received value is a probe's sequence number; true and false are not."""
    return type(value) is int


def _is_counter(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < COUNTER_LIMIT
