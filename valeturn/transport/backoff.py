"""Delays between attempts that grow exponentially and are randomized."""

from __future__ import annotations


class Backoff:
    """Delays in seconds that double from `initial` up to `maximum`.

    Each is drawn between a half and the whole, so that servers don't retry in step.
    """

    def __init__(self, random_source, initial, maximum):
        self.random_source, self.initial, self.maximum, self.delay = random_source, initial, maximum, initial

    def next(self):
        """Return the delay before the next attempt, and double the one after it."""
        delay, self.delay = self.delay, min(self.maximum, 2 * self.delay)
        return delay * (0.5 + 0.5 * self.random_source.random())

    def reset(self):
        """Start again with the initial delay, after an attempt that succeeded."""
        self.delay = self.initial
