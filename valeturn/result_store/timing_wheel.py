"""Expiry: a timing wheel of two rings over whole seconds, holding digests side by side in bytearrays.

Lazy: an entry whose window grew is found again when its old second comes, and its row has the last word.
Against a heap (`valeturn lab store`): adding costs no comparison and a key 16 bytes in place of a tuple's
hundred.
"""

from __future__ import annotations

SPAN = 512  # s of the near ring, and of one place of the far one: two rings cover days with a thousand places
DIGEST = 16


class Wheel:
    def __init__(self, now):
        self.near, self.far = {}, {}  # second -> digests; block of SPAN seconds -> (second, digest) pairs
        self.edge = int(now) // SPAN + 1  # the first block that is still in the far ring

    def add(self, digest, second):
        if second // SPAN < self.edge:
            self.near.setdefault(second, bytearray()).extend(digest)
        else:
            self.far.setdefault(second // SPAN, bytearray()).extend(second.to_bytes(8, "little") + digest)

    def _bring_near(self, now):
        while self.edge <= int(now) // SPAN + 1:
            block = self.far.pop(self.edge, b"")
            self.edge += 1
            for at in range(0, len(block), 8 + DIGEST):
                self.add(bytes(block[at + 8 : at + 8 + DIGEST]), int.from_bytes(block[at : at + 8], "little"))
            if not self.far and self.edge <= int(now) // SPAN:  # nothing further out: no need to walk there
                self.edge = int(now) // SPAN + 1

    def due(self, now, most):
        """Up to `most` digests whose second is over, the earliest first; the rest stay for the next time."""
        self._bring_near(now)
        out = []
        for second in sorted(second for second in self.near if second <= now):
            block = self.near[second]
            taken = min(len(block), (most - len(out)) * DIGEST)
            out += [bytes(block[at : at + DIGEST]) for at in range(0, taken, DIGEST)]
            if taken == len(block):
                del self.near[second]
            else:
                del block[:taken]
                break
        return out

    def earliest(self):
        """A second before which nothing ends, or None while nothing is held."""
        if self.near:
            return min(self.near)
        return min(self.far) * SPAN if self.far else None

    def __len__(self):
        return sum(map(len, self.near.values())) // DIGEST + sum(map(len, self.far.values())) // (8 + DIGEST)
