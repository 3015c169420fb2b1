"""Virtual time: a heap of what happens when, and figures that several laboratories print."""

from __future__ import annotations

import heapq


class Timeline:
    """Whatever is due is done in order, each at its moment; `now` stands still meanwhile."""

    def __init__(self):
        self.now, self.heap, self.sequence = 0.0, [], 0

    def at(self, delay, action, *args):
        self.sequence += 1
        heapq.heappush(self.heap, (self.now + delay, self.sequence, action, args))

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.heap)
            action(*args)
            self.look()
        self.now = until

    def look(self):
        """After each thing that is done; for a witness."""


def percentile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else float("nan")
