"""The one-time bootstrap of a cluster: by all named voters or by none."""

import pytest

from valeturn.cluster.bootstrap import Bootstrap, read_voter_set, voter_set_to_wire
from valeturn.transport.seeded_random import SeededRandom

NAMES = ["a", "b", "c"]


def play_bootstrap(seed):
    """Let three voters announce and restart at random; return them and all completed sets."""
    random_source = SeededRandom(seed * 977 + 3)
    for _ in range(4):
        random_source.random()
    incarnations = dict.fromkeys(NAMES, 1)
    voters = {name: Bootstrap(name, 1, 0, NAMES) for name in NAMES}
    completed = set()
    for _ in range(60):
        name = NAMES[int(3 * random_source.random())]
        # A voter that has completed the bootstrap has durable state and does not begin again.
        if random_source.random() < 0.04 and voters[name].completed is None:
            incarnations[name] += 1
            voters[name] = Bootstrap(name, incarnations[name], 0, NAMES)
        announcement = voters[name].announcement()
        other = NAMES[int(3 * random_source.random())]
        if other != name and random_source.random() < 0.7:
            voters[other].receive(name, *announcement)
        completed |= {voter.completed for voter in voters.values() if voter.completed is not None}
    return voters, completed


def test_cluster_is_bootstrapped_by_all_or_by_none_and_with_one_voter_set():
    by_all = 0
    for seed in range(400):
        voters, completed = play_bootstrap(seed)
        assert len(completed) <= 1, (seed, completed)
        by_all += all(voter.completed for voter in voters.values())
    assert by_all > 100


def test_only_voter_bootstraps_alone():
    alone = Bootstrap("a", 1, 0, ["a"])
    assert voter_set_to_wire(alone.complete_if_alone()) == [["a", 1, 0]]
    assert Bootstrap("a", 1, 0, ["a", "b"]).complete_if_alone() is None


@pytest.mark.parametrize(
    ("record", "proposal"),
    [
        (None, None),
        (["b", "x", 0], None),
        (["c", 1, 0], None),
        (["b", 1, 0], [["b"]]),
        (["b", 1, 0], [["b", 1, 0], ["a", 1, 0]]),
    ],
)
def test_malformed_announcements_complete_nothing(record, proposal):
    voter = Bootstrap("a", 1, 0, ["a", "b"])
    assert voter.receive("b", record, proposal, True) is None
    assert voter.completed is None
    assert voter.proposal() is None, "its record is not accepted"


def test_announcements_of_servers_that_are_not_named_voters_are_ignored():
    voter = Bootstrap("a", 1, 0, ["a", "b"])
    assert voter.receive("z", ["z", 1, 0], None, False) is None
    assert voter.proposal() is None
    voter.receive("b", ["b", 1, 0], None, False)
    assert voter_set_to_wire(voter.proposal()) == [["a", 1, 0], ["b", 1, 0]]


def test_voter_sets_are_read_back_as_they_were_packed():
    packed = [["a", 1, 0], ["b", 7, 3]]
    assert voter_set_to_wire(read_voter_set(packed)) == packed
