"""Suspected members: the timeout, its confirmations, and the pings by which they can refute."""

from membership_support import gossip_to, make_membership, wire_update

from valeturn.cluster.member_messages import ALIVE, DEAD, SUSPECTED


def test_independent_suspicions_shorten_the_timeout_and_relayed_ones_do_not():
    membership = make_membership()
    gossip_to(membership, *[wire_update(name, ALIVE) for name in "bcdef"])
    for sender in "cde":
        gossip_to(membership, wire_update("b", SUSPECTED, suspected_by="c"), sender=sender)
    assert len(membership.suspicions["b"].suspected_by) == 1
    longest = membership.suspicion_timeout(0)
    for suspected_by in "def":
        gossip_to(membership, wire_update("b", SUSPECTED, suspected_by=suspected_by), sender=suspected_by)
    assert membership.suspicion_timeout(len(membership.suspicions["b"].suspected_by) - 1) < longest / 4


def test_suspected_member_is_pinged_before_it_is_declared_dead():
    membership = make_membership()
    gossip_to(membership, wire_update("b", ALIVE), wire_update("c", ALIVE), now=0.0)
    gossip_to(membership, wire_update("b", SUSPECTED, suspected_by="c"), now=0.0)
    pings = 0
    now = 0.0
    # No member answers, so that the local health multiplier lengthens the timeout too.
    while membership.get("b").state == SUSPECTED and now < 300:
        now += 0.1
        pings += sum(message.name == "b" and message.kind == "ping" for message in membership.tick(now))
    assert membership.get("b").state == DEAD
    assert pings >= 3
