"""The explorer: what it holds to be the same, its planted faults, and stories that play again."""

import pytest
from raft_faults import ActsAfterItsLease, VotesDuringALease, VotesTwice

from valeturn.cluster.raft import RaftNode
from valeturn.lab import model_checker as ex


class LeadsByAnyAnswer(RaftNode):
    """Counts one answer as a majority."""

    def _majority(self, names):
        return len(set(names)) >= 1


def test_small_bounds_are_seen_whole_and_nothing_breaks():
    found = ex.explore(ex.Bounds(states=20_000, flying=3, term=1, steps=2), start=ex.led())
    assert found.whole and found.broken is None and found.states > 1000 and found.depth > 12


def test_from_the_beginning_too():
    found = ex.explore(ex.Bounds(states=6_000, flying=4, term=1, steps=1))
    assert found.broken is None and found.states >= 500


@pytest.mark.parametrize(
    "planted, bounds",
    [
        (VotesDuringALease, ex.Bounds(states=20_000, flying=4, term=2)),
        (ActsAfterItsLease, ex.Bounds(states=20_000, flying=4, term=2)),
        (LeadsByAnyAnswer, ex.Bounds(states=20_000, flying=4, term=1)),
    ],
)
def test_a_planted_fault_is_found_by_a_shortest_story_that_plays_again(planted, bounds):
    start = ex.led(planted)
    found = ex.explore(bounds, planted, start=start)
    assert found.broken in ("one acts at a time", "one leader a term", "committed facts stay")
    assert ex.replay(found.story, planted, start=start) == found.broken
    assert ex.replay(found.story, start=ex.led()) is None, "without the fault it goes otherwise"
    assert len(ex.tell(found.story)) == len(found.story) <= 14
    for shorter in range(len(found.story)):
        assert ex.replay(found.story[:shorter], planted, start=start) is None


def test_two_that_stand_at_once_share_no_voter_and_a_double_vote_makes_two_leaders():
    """A script, as the way there is longer than what is searched in a minute: a and b both stand in a
    term."""

    def play(make):
        world, broken = ex.begin(make), None

        def go(kind, text):
            nonlocal world, broken
            number = next(
                n for n, (to, sender, what, _) in enumerate(world.flying) if f"{sender}->{to} {what}" == text
            )
            world, now = ex.act(world, (kind, number, text), make)
            broken = broken or now

        for name in "ab":
            world, _ = ex.act(world, ("tick", name, ""), make)
        for text in (
            "a->c sound",
            "b->c sound",
            "c->a would",
            "c->b would",
            "a->c vote",
            "b->c vote",
            "c->a voted",
        ):
            go("deliver", text)
        if any(kind == "voted" and to == "b" for to, _, kind, _ in world.flying):
            go("deliver", "c->b voted")
        return broken

    assert play(RaftNode) is None
    assert play(VotesTwice) == "one leader a term"


def test_times_long_past_are_the_same_and_what_flies_counts():
    one, other = ex.led(), ex.led()
    assert ex.key(one) == ex.key(other)
    for owner in other.owners.values():
        owner.votes_withheld_until -= 0.0
    other.now += 50.0
    later = other.clone()
    later.now += 7.0
    assert ex.key(other) == ex.key(later) != ex.key(one)
    later.flying.append(("a", "b", "would", (1, 1, True)))
    assert ex.key(other) != ex.key(later)
    copy = one.clone()
    copy.owners["a"].match_index["z", 1] = 9
    copy.owners["a"].rounds.clear()
    assert ("z", 1) not in one.owners["a"].match_index and one.owners["a"].rounds
