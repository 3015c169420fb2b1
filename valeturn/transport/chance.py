"""Chance and back-off for connections that must be made again."""

from __future__ import annotations


class Chance:
    """A linear congruential generator (Knuth's MMIX constants), of which the high bits are used."""

    def __init__(self, seed):
        self.state = seed & (2**64 - 1)

    def share(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 33) / 2**31


class Backoff:
    """Waits that double up to a most, each between a half and the whole, so that servers do not keep step."""

    def __init__(self, chance, first, most):
        self.chance, self.first, self.most, self.wait = chance, first, most, first

    def next(self):
        wait, self.wait = self.wait, min(self.most, 2 * self.wait)
        return wait * (0.5 + 0.5 * self.chance.share())

    def reset(self):
        self.wait = self.first
