"""A small seeded source of random numbers."""

from __future__ import annotations


class SeededRandom:
    """A linear congruential generator (Knuth's MMIX constants), of which the high bits are used."""

    def __init__(self, seed):
        self.state = seed & (2**64 - 1)

    def random(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 33) / 2**31
