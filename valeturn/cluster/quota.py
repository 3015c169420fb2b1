"""The dependency's cap, split among servers so that the sum of what may be used never passes it. No I/O.

Each server is sure of an even share: the cap over the largest number of servers that there may ever be. What
one needs less is lent to those that need more, for a time. Two promises keep the sum under the cap through
any loss, delay, pause and change of owner:

- *Less* binds the server from when it reads it, for twice the time that it is told, by its own clock; the
  owner counts on it only once the server has said that it holds it, and only so long from when it was sent.
- *More* counts from when the server asked, by its own clock, which is before the owner decided: a grant that
  comes late is over by then. A new owner gives no more until all that an earlier one may have lent is over.

A server that has just started may have promised less in an earlier life: it uses a part that is never lent,
until that promise is over. Fences: a server takes nothing of an owner lower than the highest it has heard.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from .raft import CLOCK_DRIFT

NEVER_LENT = 0.25  # of the sure share: what a server that has just started, or needs nothing, may always use
MARGIN = 1.25  # of what is needed: need rises by a quarter within a round at most where load is steady
FRESH = 3.0  # terms after which a server that asked no more counts as unknown
STAMPS = 8  # asks whose answers are still taken
OUTSTANDING = 8  # grants to a server that may all still be on their way; it asks again when some are over

# Where a server's own share comes from.
STARTING, SURE, LESS, MORE = range(4)
SOURCES = ("starting", "sure", "less", "more")


class Grant(NamedTuple):
    fence: int
    number: int  # rises with each grant of an owner
    amount: float  # calls out
    stamp: float  # the server's own clock, as it said when it asked
    lasts: float  # s


class Holder:
    """A server's side: what it may use now."""

    def __init__(self, now, sure, lasts):
        """sure: its even share, calls out. lasts: s, the longest grant there is, the same everywhere."""
        self.sure, self.lasts, self.fence, self.number = sure, lasts, 0, 0
        self.source, self.amount, self.until = STARTING, NEVER_LENT * sure, now + less_time(lasts)
        self.stamps, self.stale = deque(maxlen=STAMPS), 0

    def usable(self, now):
        """Calls out that this server may have now; to be asked before each use."""
        if self.source != SURE and now >= self.until:
            self.source, self.amount, self.until = SURE, self.sure, math.inf
        return self.amount

    def ask(self, now, need):
        """What to send to the owner: need, this clock, and the grant that it goes by."""
        self.usable(now)
        self.stamps.append(now)
        return [float(need), now, [self.fence, self.number]]

    def granted(self, now, grant):
        """False where it is of an owner that was followed by another, or older than what is held."""
        if not math.isfinite(grant.amount) or grant.amount < 0 or not 0 < grant.lasts <= self.lasts:
            return False
        if grant.fence < self.fence:
            self.stale += 1
            return False
        if (grant.fence, grant.number) <= (self.fence, self.number) or grant.stamp not in self.stamps:
            return False
        if now >= grant.stamp + grant.lasts:
            return False  # it was on its way for too long: as if it had never come
        self.usable(now)
        if grant.amount > self.sure:
            self.source, self.amount, self.until = MORE, grant.amount, grant.stamp + grant.lasts
        elif grant.amount < self.sure:
            self.source, self.amount, self.until = LESS, grant.amount, now + less_time(grant.lasts)
        else:
            self.source, self.amount, self.until = SURE, self.sure, math.inf
        self.fence, self.number = grant.fence, grant.number
        return True


def less_time(lasts):
    """s of its own clock that a server keeps a promise of less: at least twice `lasts` by any clock."""
    return 2 * lasts * (1 + CLOCK_DRIFT)


class Place:
    """What the owner knows of one server."""

    __slots__ = ("asked", "held", "need", "not_before", "sent", "until")

    def __init__(self, now):
        self.need, self.asked = 0.0, now
        # Less that it said it holds, or None where it may use its sure share; how long that is counted on.
        self.held, self.until = None, 0.0
        self.not_before = 0  # number of a grant after which it may have come back to its sure share
        self.sent = []  # [number, amount, sent at] of those that it may go by, or come to


class Splitter:
    """The owner's side, from when it became it."""

    def __init__(self, now, fence, cap, largest, lasts):
        self.fence, self.cap, self.largest, self.lasts = fence, cap, largest, lasts
        self.sure, self.number, self.places = cap / largest, 0, {}
        self.more_from = now + lasts * (
            1 + CLOCK_DRIFT
        )  # until then grants of an earlier owner may still hold
        self.targets, self.split_at = {}, -math.inf

    def asked(self, now, name, need, stamp, holding):
        """A Grant, or None: nothing can be said now, and the server goes on by what it has. So it is until
        all that an earlier owner lent is over: to give even the sure share back would take it from who
        borrowed it."""
        place = self.places.get(name)
        if place is None:
            if len(self.places) >= self.largest:
                self._forget(now)
            if len(self.places) >= self.largest:
                return None
            place = self.places[name] = Place(now)
        place.need, place.asked = max(0.0, need), now
        self._holds(now, place, holding)
        if len(place.sent) >= OUTSTANDING or now < self.more_from:
            return None
        amount = self._amount(now, name, place)
        self.number += 1
        place.sent.append([self.number, amount, now])
        return Grant(self.fence, self.number, amount, stamp, self.lasts)

    def _holds(self, now, place, holding):
        """holding: (fence, number) that the server goes by. Of an earlier owner, or none, tells nothing: it
        may use its sure share."""
        fence, number = holding
        row = next((row for row in place.sent if row[0] == number), None) if fence == self.fence else None
        if row is not None:
            place.sent = [one for one in place.sent if one[0] >= number]
            if row[1] >= self.sure:
                place.held = None
            elif number > place.not_before:
                place.held, place.until = row[1], row[2] + 2 * self.lasts
                place.sent.remove(row)
        for one in [one for one in place.sent if now >= self._over(one)]:
            place.sent.remove(one)
            # It can't be read any more. If it was, it may be gone by without a word, and then be over.
            place.held, place.not_before = None, max(place.not_before, one[0])

    def _over(self, row):
        """When a grant can't be taken any more, and more that was taken is over, by this clock."""
        return row[2] + self.lasts * (1 + CLOCK_DRIFT)

    def most(self, now, name):
        """The most that a server may use at any moment of the next `lasts`."""
        place = self.places.get(name)
        if place is None:
            return self.sure
        counted = place.held is not None and place.until >= now + self.lasts * (1 + CLOCK_DRIFT)
        most = place.held if counted else self.sure
        for _, amount, _ in (row for row in place.sent if now < self._over(row)):
            most = max(most, amount)
        return most

    def committed(self, now):
        """The most that all servers together may use in the next `lasts`, those that are not known too."""
        return sum(self.most(now, name) for name in self.places) + self.sure * (
            self.largest - len(self.places)
        )

    def _amount(self, now, name, place):
        wants = self._targets(now).get(name, self.sure)
        amount = min(wants, self.cap - self.committed(now) + self.most(now, name))
        if amount >= self.sure:  # from here on it may fall back to its sure share at any time
            place.held, place.not_before = None, self.number + 1
            return amount
        # It stays lent: the room for its sure share is in use elsewhere, for `lasts` at the most.
        return max(NEVER_LENT * self.sure, amount)

    def _targets(self, now):
        """name -> what each should have: what it needs and a margin, evenly cut down where that is too much.
        Worked out a few times a term."""
        if now - self.split_at < self.lasts / 8 and len(self.targets) == len(self.places):
            return self.targets
        self.split_at = now
        fresh = {n: p for n, p in self.places.items() if now - p.asked <= FRESH * self.lasts}
        room = self.cap - self.sure * (self.largest - len(fresh))
        least = NEVER_LENT * self.sure
        wants = sorted((max(least, MARGIN * p.need), n) for n, p in fresh.items())
        self.targets, left = {}, len(wants)
        for want, name in wants:  # the smallest wants first: the even part of what is left, or less
            self.targets[name] = min(want, room / left)
            room, left = room - self.targets[name], left - 1
        spare = room / len(fresh) if fresh else 0.0
        self.targets = {name: target + spare for name, target in self.targets.items()}
        return self.targets

    def _forget(self, now):
        for name, place in list(self.places.items()):
            if now - place.asked > max(FRESH * self.lasts, 2 * less_time(self.lasts)):
                del self.places[name]

    def figures(self, now):
        return {"servers": len(self.places), "committed": round(self.committed(now), 3), "cap": self.cap}
