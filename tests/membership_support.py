"""A single membership, and the updates that it receives."""

from valeturn.cluster.membership import MemberIdentity, Membership
from valeturn.transport.seeded_random import SeededRandom


def make_membership(name="a", generation=5, seeds=()):
    """Return the membership of a server that knows no other."""
    return Membership(MemberIdentity(name, f"{name}:1", "z", generation), seeds, SeededRandom(3), 0.0)


def wire_update(name, state, generation=5, incarnation=0, suspected_by="", address=None):
    """Return a member update in the form that messages have."""
    return [name, address or f"{name}:1", "z", suspected_by, generation, incarnation, state]


def gossip_to(membership, *updates, now=1.0, sender="b", generation=5):
    """Let a membership receive a message that has only updates, and return the messages it sends."""
    return membership.receive(now, sender, generation, "news", [list(updates)])


def taken_changes(membership):
    """Return the names and effects of the changes since the last call."""
    return [(change.name, change.effect) for change in membership.take_changes()]
