"""A small source of random numbers that a seed determines."""

from __future__ import annotations


class SeededRandom:
    """A linear congruential generator with Knuth's MMIX constants, of which only the high bits are used."""

    def __init__(self, seed):
        self.state = seed & (2**64 - 1)

    def random(self):
        """Return the next number in [0, 1)."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 33) / 2**31
