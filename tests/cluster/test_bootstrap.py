"""How a cluster begins, once: by all named voters or by none."""

import json

from valeturn.cluster import bootstrap
from valeturn.transport.seeded_random import Chance


def test_a_fleet_is_founded_by_all_or_by_nobody_and_by_one_set():
    founded = 0
    for seed in range(400):
        chance, names = Chance(seed * 977 + 3), ["a", "b", "c"]
        for _ in range(4):
            chance.share()
        lives = dict.fromkeys(names, 1)
        there = {name: bootstrap.Founding(name, 1, 0, names) for name in names}
        sets = set()
        for _ in range(60):
            name = names[int(3 * chance.share())]
            if chance.share() < 0.04 and there[name].founded is None:  # who has founded remembers it
                lives[name] += 1
                there[name] = bootstrap.Founding(name, lives[name], 0, names)
            word = there[name].word()
            other = names[int(3 * chance.share())]
            if other != name and chance.share() < 0.7:
                there[other].hear(name, *word)
            sets |= {json.dumps(one.founded) for one in there.values() if one.founded is not None}
        assert len(sets) <= 1, (seed, sets)
        founded += all(one.founded for one in there.values())
    assert founded > 100
    alone = bootstrap.Founding("a", 1, 0, ["a"])
    assert alone.alone() == [["a", 1, 0]]


def test_words_that_can_t_be_read_found_nothing():
    one = bootstrap.Founding("a", 1, 0, ["a", "b"])
    for row, would in (
        (None, None),
        (["b", "x", 0], None),
        (["c", 1, 0], None),
        (["b", 1, 0], [["b"]]),
        (["b", 1, 0], [["b", 1, 0], ["a", 1, 0]]),
    ):
        assert one.hear("b", row, would, True) is None
    assert one.hear("z", ["z", 1, 0], None, False) is None and "z" not in one.heard
