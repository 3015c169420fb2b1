"""Pauses between attempts that grow and are spread by chance."""

from __future__ import annotations


class Backoff:
    """Waits that double up to a most, each between a half and the whole, so that servers do not keep step."""

    def __init__(self, random_source, first, most):
        self.random_source, self.first, self.most, self.wait = random_source, first, most, first

    def next(self):
        wait, self.wait = self.wait, min(self.most, 2 * self.wait)
        return wait * (0.5 + 0.5 * self.random_source.random())

    def reset(self):
        self.wait = self.first
