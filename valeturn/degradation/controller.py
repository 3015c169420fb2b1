"""Which level holds: a table of state, input, next state, effect, read at every sweep. No I/O.

A level is entered once its condition has held as long as it says, one rank at a time, but at once to the
worst whose condition holds in an emergency: two ranks or more above the present one. It is left, once its
leave condition has held and its least stay is over, for the next lower one whose own leave condition does not
hold, or for none.

What a level relieves looks well because of the level: its leave condition may hold only while it does. So it
is left on trial, for the last part of its stay: more and more of the submissions, from the highest rank down,
are spared what it gives up. Should its own condition begin to hold meanwhile, it holds in full again, never
having been left, and the stay doubles. Coming back soon after it was left doubles the stay as well, up to a
bound that grows with the time for which the level has come and gone; a stay that was doubled is halved again
for each quiet while, as it was learnt.
"""

from __future__ import annotations

from typing import NamedTuple

# CALM: no level. IN: a level by its condition. TRIAL: one on its way out. PINNED: one by hand, for a time.
CALM, IN, TRIAL, PINNED = range(4)
STATES = ("calm", "in", "on trial", "pinned")
# WORSE: the condition of a higher one holds. BETTER, WELL: the leave condition holds and the stay is over,
# with a lower level to go to or none. PIN, UNPIN: by hand, and its end. LOST: the level is gone from the
# configuration. COLD: as WORSE, of a server that warms up. MILD: the leave condition holds and the stay is
# over but for the trial. AGAIN: on trial, its own condition begins to hold or the leave condition ends.
WORSE, BETTER, WELL, PIN, UNPIN, LOST, COLD, MILD, AGAIN = range(9)

# (state, input) -> (next state, effect). A missing pair changes nothing: COLD alone never enters a level by
# condition, as what a cold server sees of its own cores is its warming up.
TABLE = {
    (CALM, WORSE): (IN, "up"),
    (CALM, PIN): (PINNED, "pin"),
    (IN, WORSE): (IN, "up"),
    (IN, MILD): (TRIAL, "try_out"),
    (IN, PIN): (PINNED, "pin"),
    (IN, LOST): (CALM, "drop"),
    (TRIAL, WORSE): (IN, "up"),
    (TRIAL, AGAIN): (IN, "back_in"),
    (TRIAL, BETTER): (IN, "down"),
    (TRIAL, WELL): (CALM, "down"),
    (TRIAL, PIN): (PINNED, "pin"),
    (TRIAL, LOST): (CALM, "drop"),
    (PINNED, PIN): (PINNED, "pin"),
    (PINNED, UNPIN): (CALM, "unpin"),
    (PINNED, LOST): (CALM, "drop"),
}
SOON = 60.0  # s after a return in which coming back counts as flapping
STAY_MOST = 8.0  # times its least stay that a level is kept, after three soon returns
# Of the time that it has come and gone, for which it may be kept: returns get rarer the longer that goes on,
# at any load; half, so that what is over after minutes is not kept for as many more.
EPISODE = 0.5
STEPS = 4  # of a trial: a quarter more each time is less than the room in which a crowded dependency holds
STEP = 0.5  # s: half of the time in which the signals fade; twice that kept levels past their trouble
CHANGES = 6  # a minute at the most; past it a level is entered but not left
EMERGENCY = 2  # ranks by which a worse one is entered at once, past those between


class Level(NamedTuple):
    name: str
    rank: int
    enter: object  # a Condition
    leave: object
    stay: float  # s, the least
    gives: object  # what the module is told


class Change(NamedTuple):
    """What is told of a change: to and from None is no level."""

    before: str | None
    after: str | None
    why: str


class Holding:
    """How long a condition has held: each comparison counts for itself. One whose signal is missing holds on
    to what it was for a while, then counts as not held for `enter` and as held for `leave`."""

    MISSING = 5.0  # s: a signal that stops coming neither enters a level nor keeps one for ever

    def __init__(self, condition, when_missing):
        self.condition, self.when_missing = condition, when_missing
        self.since, self.seen = {}, {}  # comparison -> since when it holds; (when, what) was last known

    def met(self, now, read, usual):
        return any(all([self._one(now, one, read, usual) for one in row]) for row in self.condition.conjunctions)

    def begins(self, read, usual):
        """True where a row of comparisons holds at this moment, however long it has to."""
        return any(all(one.holds(read, usual) for one in row) for row in self.condition.conjunctions)

    def _one(self, now, one, read, usual):
        holds = one.holds(read, usual)
        if holds is None:
            at, before = self.seen.get(one, (None, False))
            if at is None:  # never known: nothing to hold on to
                holds = self.when_missing
            else:
                holds = before if now - at <= self.MISSING else self.when_missing
        else:
            self.seen[one] = now, holds
        if not holds:
            self.since.pop(one, None)
            return False
        return now - self.since.setdefault(one, now) >= one.hold_duration


class Decision:
    def __init__(self, levels, now):
        self.state, self.at, self.entered, self.changes = CALM, None, now, []
        self.pinned_until = 0.0
        self.put(levels)

    def put(self, levels):
        """Takes another configuration whole; a level with the same name goes on."""
        self.levels = sorted(levels, key=lambda level: level.rank)
        self.enters = {level.name: Holding(level.enter, False) for level in self.levels}
        self.leaves = {level.name: Holding(level.leave, True) for level in self.levels}
        self.factor = {level.name: 1.0 for level in self.levels}
        self.left = {}  # name -> when it was left last
        self.episode = {}  # name -> when it was entered first of those times that it came back soon
        self.tried_at = None  # since when the present one is on trial

    def level(self):
        return next((level for level in self.levels if level.name == self.at), None)

    def step(self, now, read, usual, cold=False):
        """The changes of this sweep, in order, mostly none."""
        met = {level.name: self.enters[level.name].met(now, read, usual) for level in self.levels}
        leaves = {level.name: self.leaves[level.name].met(now, read, usual) for level in self.levels}
        self.changes = [at for at in self.changes if now - at < 60.0]
        level, out = self.level(), []
        if self.at is not None and level is None:
            return self._move(LOST, now, None, "no longer configured")
        if self.state == PINNED:
            return self._move(UNPIN, now, None, "held by hand to here") if now >= self.pinned_until else out
        rank = level.rank if level is not None else 0
        worse = [one for one in self.levels if one.rank > rank and met[one.name]]
        if worse:
            target = worse[-1] if worse[-1].rank - rank >= EMERGENCY else worse[0]
            return self._move(COLD if cold else WORSE, now, target, str(target.enter))
        if level is None:
            return out
        well = leaves[level.name] and not met[level.name]
        if self.state == TRIAL:
            if not well or self.enters[level.name].begins(read, usual):
                return self._move(AGAIN, now, level, str(level.enter))
            if now - self.tried_at >= STEPS * STEP and len(self.changes) < CHANGES:
                below = [one for one in self.levels if one.rank < level.rank and not leaves[one.name]]
                target = below[-1] if below else None
                return self._move(BETTER if below else WELL, now, target, str(level.leave))
        elif well and now - self.entered >= level.stay * self.factor[level.name] - STEPS * STEP:
            self._move(MILD, now, level, str(level.leave))
        return out

    def spared(self, now):
        """The share that the present level does not touch: 0 but on trial; by steps up to four fifths."""
        return 0.0 if self.state != TRIAL else min(STEPS, 1 + int((now - self.tried_at) / STEP)) / (STEPS + 1)

    def pin(self, now, name, seconds):
        """By hand; None where there is no such level."""
        target = next((level for level in self.levels if level.name == name), None)
        if target is None:
            return None
        self.pinned_until = now + seconds
        return self._move(PIN, now, target, f"by hand for {seconds:g} s")

    def free(self, now):
        """Ends what is held by hand; None where nothing is."""
        return self._move(UNPIN, now, None, "freed by hand") if self.state == PINNED else None

    def _move(self, given, now, target, why):
        found = TABLE.get((self.state, given))
        if found is None:
            return []
        before = self.at
        self.state, effect = found
        getattr(self, "do_" + effect)(now, target)
        if before == self.at:
            return []
        self.changes.append(now)
        return [Change(before, self.at, why)]

    def do_up(self, now, target):
        quiet = now - self.left.get(target.name, -1e9)
        if quiet < SOON:
            self.lengthen(now, target)
        else:
            self.episode[target.name] = now
            self.factor[target.name] = max(1.0, self.factor[target.name] * 0.5 ** min(9.0, quiet / SOON))
        self.at, self.entered = target.name, now

    def lengthen(self, now, level):
        """The stay doubles, up to a bound that grows with how long the level has come and gone."""
        most = max(STAY_MOST, EPISODE * (now - self.episode.get(level.name, now)) / level.stay)
        self.factor[level.name] = min(most, 2 * self.factor[level.name])

    def do_try_out(self, now, target):
        self.tried_at = now

    def do_back_in(self, now, target):
        self.lengthen(now, target)
        self.entered = now

    def do_down(self, now, target):
        self.left[self.at] = now
        self.at, self.entered = (None if target is None else target.name), now

    def do_pin(self, now, target):
        self.at, self.entered = target.name, now

    def do_unpin(self, now, target):
        self.at, self.entered = None, now

    do_drop = do_unpin
