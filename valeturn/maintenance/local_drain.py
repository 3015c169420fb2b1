"""What one server does about its turn: a table of state, input, next state, effect. No I/O."""

from __future__ import annotations

from collections import deque

# SERVES: as ever. DRAINS: under a grant. EMPTY: waits for the word that its work may begin. AT_WORK: its hook
# runs, then it ends. GOES_BACK: it starts anew in place. LEAVES: by the platform's notice, which goes first.
SERVES, DRAINS, EMPTY, AT_WORK, GOES_BACK, LEAVES = range(6)
STATES = ("serves", "drains for its turn", "empty", "at work", "comes back", "leaves")
# OUT, WORK, BACK: the owner's words under a fence that is good. NOTICE: the platform's notice to leave.
# DRAINED: nothing is read, held, running, owed or in doubt. ALONE: no word of an owner for too long.
OUT, WORK, BACK, NOTICE, DRAINED, ALONE = range(6)

TABLE = {
    (SERVES, OUT): (DRAINS, "drain"),
    (SERVES, NOTICE): (LEAVES, "leave"),
    (DRAINS, DRAINED): (EMPTY, "tell"),
    (DRAINS, NOTICE): (LEAVES, "leave"),
    (EMPTY, WORK): (AT_WORK, "work"),
    (EMPTY, BACK): (GOES_BACK, "go_back"),
    (EMPTY, NOTICE): (LEAVES, "end"),
    (EMPTY, ALONE): (LEAVES, "end"),
}
VERBS = {"out": OUT, "work": WORK, "back": BACK}
STAMPS = 8  # reports whose answers are still taken


class Place:
    """lasts: s that an owner's word is good, counted from this server's own asking. patience: s that an empty
    one waits for a word before it ends without its work."""

    def __init__(self, now, lasts, patience):
        self.state, self.fence, self.lasts, self.patience, self.since = SERVES, 0, lasts, patience, now
        self.heard_at = now  # any word of an owner
        self.stamps, self.refused, self.seen = deque(maxlen=STAMPS), 0, 0

    def asked(self, now):
        self.stamps.append(now)
        return now

    def told(self, now, stamp, verb, fence):
        """The effect to be had, or None. A word that comes late is refused here, at the last look: its place
        may have been given away meanwhile."""
        given = VERBS.get(verb)
        if given is None:
            return None
        good = stamp in self.stamps and now < stamp + self.lasts and fence >= max(self.seen, self.fence)
        if not good or self.state != SERVES and fence != self.fence:
            self.refused += 1
            return None
        self.seen = fence
        effect = self.step(now, given)
        if effect == "drain":
            self.fence = fence
        return effect

    def notice(self, now):
        return self.step(now, NOTICE)

    def drained(self, now):
        return self.step(now, DRAINED)

    def tick(self, now):
        if self.state == EMPTY and now - max(self.since, self.heard_at) > self.patience:
            return self.step(now, ALONE)
        return None

    def heard(self, now):
        """Any word of an owner: an empty one need not end alone."""
        self.heard_at = now

    def step(self, now, given):
        found = TABLE.get((self.state, given))
        if found is None:
            return None
        self.state, effect = found
        self.since = now
        return effect
