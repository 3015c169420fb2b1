"""Virtual time: a heap of timed events that is worked off in order, and a percentile for printed figures."""

from __future__ import annotations

import heapq


class Timeline:
    """Runs scheduled actions by their times; `now`, in seconds, stands still during an action."""

    def __init__(self):
        self.now, self.heap, self.sequence = 0.0, [], 0

    def at(self, delay, action, *args):
        """Schedule action(*args) `delay` seconds from now; equal times run in the order of scheduling."""
        self.sequence += 1
        heapq.heappush(self.heap, (self.now + delay, self.sequence, action, args))

    def run(self, until):
        """Run all actions that are due up to the time `until`, and set the clock to it."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.heap)
            action(*args)
            self.look()
        self.now = until

    def look(self):
        """Do nothing; called after each action, for subclasses that check invariants."""


def percentile(values, share):
    """Return the value at that share (0 to 1) of the sorted values, or NaN if there are none."""
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else float("nan")
