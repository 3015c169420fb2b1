"""The transitions of a member's state, compared with the rules of the papers."""

import random

import pytest
from membership_support import gossip_to, make_membership, wire_update

from valeturn.cluster.limits import MEMBERS
from valeturn.cluster.member_messages import ALIVE, DEAD, LEFT, SUSPECTED, UNKNOWN, MemberUpdate
from valeturn.cluster.member_table import (
    FORGET_AFTER,
    NEW_GENERATION,
    NEWER,
    OLDER,
    SAME,
    TRANSITIONS,
    Member,
    MemberTable,
)


def expected_record(known, stated):
    """Return a member's (generation, incarnation, state) after an update by the papers' precedence."""
    if known is None:
        return stated
    rank = {ALIVE: 0, SUSPECTED: 1, DEAD: 2, LEFT: 3}
    if stated[0] != known[0]:
        return max(known, stated, key=lambda one: one[0])
    if stated[1] < known[1]:
        return known
    if stated[1] == known[1]:
        return max(known, stated, key=lambda one: rank[one[2]])
    # A newer incarnation is the member's own statement: it refutes a suspicion and even a death, but a member
    # left for good, and a dead one does not die once more.
    if known[2] == LEFT or known[2] == DEAD == stated[2]:
        return known
    return stated


@pytest.mark.parametrize("seed", range(12))
def test_updates_override_each_other_as_the_papers_say(seed):
    random_source = random.Random(seed)
    membership = make_membership()
    known = {}
    for step in range(400):
        name = random_source.choice("bcd")
        stated = (
            random_source.randrange(5, 8),
            random_source.randrange(3),
            random_source.choice((1, 2, 3, 4)),
        )
        update = wire_update(name, stated[2], stated[0], stated[1], suspected_by="x")
        gossip_to(membership, update, now=1.0 + step / 1000, sender="e", generation=99)
        before = known.get(name)
        known[name] = expected_record(before, stated)
        member = membership.get(name)
        assert (member.generation, member.incarnation, member.state) == known[name], (before, stated)
        assert (name in membership.suspicions) == (member.state == SUSPECTED)


def test_every_transition_leads_to_the_stated_state():
    numbers = {NEW_GENERATION: (6, 0), NEWER: (5, 2), SAME: (5, 1)}
    for known, stated, relation in TRANSITIONS:
        table = MemberTable()
        if known != UNKNOWN:
            table.by_name["b"] = Member("b", "b:1", "z", 5, 1, known, 0.0)
        generation, incarnation = numbers[relation]
        table.apply(1.0, MemberUpdate("b", "b:1", "z", "c", generation, incarnation, stated))
        assert table.get("b").state == stated
        assert known in (UNKNOWN, ALIVE, SUSPECTED, DEAD, LEFT)


def test_older_updates_have_no_transition_and_new_generations_always_have_one():
    assert all(relation != OLDER for _, _, relation in TRANSITIONS)
    for known in (ALIVE, SUSPECTED, DEAD, LEFT):
        for stated in (ALIVE, SUSPECTED, DEAD, LEFT):
            assert (known, stated, NEW_GENERATION) in TRANSITIONS


def test_tables_are_bounded_and_departed_members_are_forgotten():
    membership = make_membership()
    for number in range(3 * MEMBERS):
        gossip_to(membership, wire_update(f"n{number}", ALIVE if number % 2 else DEAD))
    assert len(membership.members) == MEMBERS
    for number in range(3 * MEMBERS):
        membership.receive(2.0, "n1", 5, "ask", [number, "n3", "x", []])
    assert len(membership.failure_detector.relayed_probes) <= MEMBERS
    for step in range(3):
        membership.tick(2.0 + (step + 1) * FORGET_AFTER)
    assert len(membership.members) <= MEMBERS // 2
    assert len(membership.gossip) <= MEMBERS
