"""Streams of random numbers for schedules and scenarios that are numbered by small seeds."""

from __future__ import annotations

from typing import Final

from ..transport.seeded_random import SeededRandom

WARM_UP_DRAWS: Final = 8  # the first draws of neighbouring seeds are alike


def warmed_up(seed: int) -> SeededRandom:
    """Return the stream of a seed, past the first draws, which are alike for neighbouring seeds."""
    random_source = SeededRandom(seed)
    for _ in range(WARM_UP_DRAWS):
        random_source.random()
    return random_source
