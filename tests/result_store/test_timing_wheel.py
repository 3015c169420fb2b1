"""The timing wheel against a sorted list."""

import pytest
from memory_disk import seeded

from valeturn.result_store.timing_wheel import TimingWheel


@pytest.mark.parametrize("seed", range(4))
def test_timing_wheel_matches_sorted_list(seed):
    random_source, now = seeded("wheel", seed), 1_800_000_000
    wheel, expected = TimingWheel(now), []
    for step in range(800):
        for _ in range(random_source.randrange(4)):
            second = (
                now + random_source.choice((1, 5, 511, 512, 600, 5000, 90_000)) + random_source.randrange(3)
            )
            digest = step.to_bytes(16, "big")
            wheel.add(digest, second)
            expected.append((second, digest))
        assert len(wheel) == len(expected)
        if expected:
            assert wheel.earliest() <= min(expected)[0]
        now += random_source.choice((0, 1, 1, 2, 40, 700))
        due = wheel.pop_due(now, 3)
        passed = sorted(second for second, _ in expected if second <= now)
        assert len(due) == min(3, len(passed))
        seconds = []
        for digest in due:
            expected_pair = min(pair for pair in expected if pair[1] == digest and pair[0] <= now)
            expected.remove(expected_pair)
            seconds.append(expected_pair[0])
        assert sorted(seconds) == passed[: len(due)], "the earliest first"
