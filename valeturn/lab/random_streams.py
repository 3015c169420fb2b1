"""Streams of random numbers for schedules and scenarios that are numbered by small seeds."""

from __future__ import annotations

from typing import Final

from ..transport.seeded_random import Chance

WARM_UP_DRAWS: Final = 8  # the first numbers of near seeds are alike


def warmed_up(seed: int) -> Chance:
    """Return the stream of a seed, past the draws in which near seeds are alike."""
    chance = Chance(seed)
    for _ in range(WARM_UP_DRAWS):
        chance.share()
    return chance
