"""The timing wheel against a sorted list."""

import pytest
from memory_disk import seeded

from valeturn.result_store.timing_wheel import TimingWheel


@pytest.mark.parametrize("seed", range(4))
def test_timing_wheel_matches_sorted_list(seed):
    chance, now = seeded("wheel", seed), 1_800_000_000
    wheel, plain = TimingWheel(now), []
    for step in range(800):
        for _ in range(chance.randrange(4)):
            second = now + chance.choice((1, 5, 511, 512, 600, 5000, 90_000)) + chance.randrange(3)
            digest = step.to_bytes(16, "big")
            wheel.add(digest, second)
            plain.append((second, digest))
        assert len(wheel) == len(plain)
        if plain:
            assert wheel.earliest() <= min(plain)[0]
        now += chance.choice((0, 1, 1, 2, 40, 700))
        due = wheel.pop_due(now, 3)
        over = sorted(second for second, _ in plain if second <= now)
        assert len(due) == min(3, len(over))
        seconds = []
        for digest in due:
            one = min(pair for pair in plain if pair[1] == digest and pair[0] <= now)
            plain.remove(one)
            seconds.append(one[0])
        assert sorted(seconds) == over[: len(due)], "the earliest first"
