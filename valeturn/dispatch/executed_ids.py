"""The ids of submissions that may have run and are no longer pending.

A gateway gives each submission an id of its own. One that comes again, after its caller had left, must not be
run a second time where nothing else tells that it is the same.
"""

from __future__ import annotations

from collections import OrderedDict

IDS_PER_REQUEST = 4  # ids that are kept for each pending request that the memory allows: some 100 bytes each


class ExecutedIds:
    """Ids with the time until which they are kept; the oldest go first where there is no room."""

    def __init__(self, max_count: int, lifetime_s: float) -> None:
        """Begin without ids.

        Args:
            max_count: How many ids are kept at most.
            lifetime_s: Seconds for which an id is kept.
        """
        self._max_count = max_count
        self._lifetime_s = lifetime_s
        self._kept_until: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept_until)

    def add(self, now: float, call_id: str) -> None:
        """Keep an id of 16 hexadecimal digits."""
        number = int(call_id, 16)
        self._kept_until.pop(number, None)
        self._kept_until[number] = now + self._lifetime_s
        if len(self._kept_until) > self._max_count:
            self._kept_until.popitem(last=False)

    def contains(self, call_id: str) -> bool:
        """Return whether the id is kept."""
        return int(call_id, 16) in self._kept_until

    def expire(self, now: float) -> None:
        """Remove the ids whose time is over."""
        while self._kept_until and next(iter(self._kept_until.values())) <= now:
            self._kept_until.popitem(last=False)
