"""The model checker: which states are equivalent, planted faults that it must find, and replays of these."""

import pytest
from raft_faults import ActsAfterItsLease, VotesDuringALease, VotesTwice

from valeturn.cluster.raft import RaftNode
from valeturn.lab import model_checker


class LeadsByAnyAnswer(RaftNode):
    """Counts one answer as a majority."""

    def _majority(self, names):
        return len(set(names)) >= 1


def test_search_within_small_bounds_is_complete_and_finds_no_violation():
    found = model_checker.explore(
        model_checker.Bounds(states=20_000, flying=3, term=1, steps=2),
        start=model_checker.state_with_leader(),
    )
    assert found.whole and found.broken is None and found.states > 1000 and found.depth > 12


def test_search_from_the_initial_state_finds_no_violation():
    found = model_checker.explore(model_checker.Bounds(states=6_000, flying=4, term=1, steps=1))
    assert found.broken is None and found.states >= 500


@pytest.mark.parametrize(
    "node_class, bounds",
    [
        (VotesDuringALease, model_checker.Bounds(states=20_000, flying=4, term=2)),
        (ActsAfterItsLease, model_checker.Bounds(states=20_000, flying=4, term=2)),
        (LeadsByAnyAnswer, model_checker.Bounds(states=20_000, flying=4, term=1)),
    ],
)
def test_planted_fault_is_found_with_a_shortest_sequence_that_can_be_replayed(node_class, bounds):
    start = model_checker.state_with_leader(node_class)
    found = model_checker.explore(bounds, node_class, start=start)
    assert found.broken in ("one acts at a time", "one leader a term", "committed facts stay")
    assert model_checker.replay(found.story, node_class, start=start) == found.broken
    assert model_checker.replay(found.story, start=model_checker.state_with_leader()) is None, (
        "without the fault it goes otherwise"
    )
    assert len(model_checker.describe(found.story)) == len(found.story) <= 14
    for shorter in range(len(found.story)):
        assert model_checker.replay(found.story[:shorter], node_class, start=start) is None


def test_concurrent_candidates_share_no_voter_and_a_double_vote_makes_two_leaders():
    """a and b both stand in a term. The actions are scripted: a search this deep takes more than a minute."""

    def play(node_class):
        state, broken = model_checker.initial_state(node_class), None

        def apply(action_kind, text):
            nonlocal state, broken
            number = next(
                number
                for number, (to, sender, message_kind, _) in enumerate(state.flying)
                if f"{sender}->{to} {message_kind}" == text
            )
            state, new_violation = model_checker.apply_action(state, (action_kind, number, text), node_class)
            broken = broken or new_violation

        for name in "ab":
            state, _ = model_checker.apply_action(state, ("tick", name, ""), node_class)
        for text in (
            "a->c sound",
            "b->c sound",
            "c->a would",
            "c->b would",
            "a->c vote",
            "b->c vote",
            "c->a voted",
        ):
            apply("deliver", text)
        if any(kind == "voted" and to == "b" for to, _, kind, _ in state.flying):
            apply("deliver", "c->b voted")
        return broken

    assert play(RaftNode) is None
    assert play(VotesTwice) == "one leader a term"


def test_times_long_past_are_equivalent_and_messages_in_flight_count():
    one, other = model_checker.state_with_leader(), model_checker.state_with_leader()
    assert model_checker.state_key(one) == model_checker.state_key(other)
    for node in other.nodes.values():
        node.votes_withheld_until -= 0.0
    other.now += 50.0
    later = other.clone()
    later.now += 7.0
    assert model_checker.state_key(other) == model_checker.state_key(later) != model_checker.state_key(one)
    later.flying.append(("a", "b", "would", (1, 1, True)))
    assert model_checker.state_key(other) != model_checker.state_key(later)
    clone_of_one = one.clone()
    clone_of_one.nodes["a"].match_index["z", 1] = 9
    clone_of_one.nodes["a"].rounds.clear()
    assert ("z", 1) not in one.nodes["a"].match_index and one.nodes["a"].rounds
