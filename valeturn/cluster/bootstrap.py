"""How a fleet begins, once: all that are named to vote agree on who they are. No I/O.

A voter that remembers nothing may be a new one or one that lost its disk; it can't tell. So a fleet is
founded only by *all* of those that the operator's files name, each in a life that has never voted: then
nobody has given a vote that could be given twice. Each tells what it has heard of the others; one that has
heard of all says which set it would found with; one that hears the same set of all founds it, for good, and
goes on telling so. Who finds its present life in a founded set founds it too: it has given no vote yet, under
that set or any.

A life that ends between its word and the founding is in no further set; where so many of a founded set end at
once that no majority is left, nothing is made up: that is the majority that was lost for good.
"""

from __future__ import annotations


def readable(said):
    """Whether it is a set: sorted [name, life, floor] rows."""
    return (
        isinstance(said, list)
        and all(
            isinstance(row, list)
            and len(row) == 3
            and isinstance(row[0], str)
            and all(isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**63 for n in row[1:])
            for row in said
        )
        and said == sorted(said)
    )


class Founding:
    """One of the named, while it remembers nothing."""

    def __init__(self, name, life, floor, names):
        """floor: the least fence that may be handed out, as this one knows; 0 where its disk would
        remember."""
        self.me, self.names = [name, life, floor], sorted(names)
        self.heard = {name: self.me}  # name -> its row, of its newest life
        self.sets = {}  # name -> the set that it would found with
        self.founded = None

    def mine(self):
        """The set that this one would found with, or None while somebody is missing."""
        if self.founded is not None:
            return self.founded
        rows = [self.heard.get(name) for name in self.names]
        return None if None in rows else rows

    def word(self):
        """What it tells the others: its row, its set, and whether that is founded."""
        return [self.me, self.mine(), self.founded is not None]

    def hear(self, sender, row, would, done):
        """Another's word. The set, once founded; what can't be read is ignored."""
        if self.founded is not None or sender not in self.names or not readable([row]) or row[0] != sender:
            return self.founded
        if would is not None and not readable(would):
            return None
        known = self.heard.get(sender)
        if known is not None and row[1] < known[1]:
            return None  # of an earlier life
        self.heard[sender] = row
        self.sets[sender] = would
        if done is True and self.me in (would or ()):
            self.founded = would
        elif self.mine() is not None and all(
            self.sets.get(name) == self.mine() for name in self.names if name != self.me[0]
        ):
            self.founded = self.mine()
        return self.founded

    def alone(self):
        """The set of a fleet of one."""
        if self.names == [self.me[0]]:
            self.founded = [self.me]
        return self.founded
