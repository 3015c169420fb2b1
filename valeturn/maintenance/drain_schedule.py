"""Who goes out next, at the owner of the fleet: a table of state, input, next state, effect. No I/O.

The rows stand in the fleet's log, so that they survive any owner; what the servers report does not: a new
owner decides nothing before it has heard of enough of them. A row moves by one committed fact at a time.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# States of a request. All but WAITING count as out.
WAITING, GRANTED, DRAINING, EMPTY, WORKING, RETURNING, WARMING = range(7)
STATES = ("waits", "granted", "draining", "empty", "in work", "coming back", "warming")
# CHOSEN: its turn has come. BEGAN: the server drains under this grant. UNTAKEN: it serves on, and the grant
# can't be taken any more. EMPTIED: nothing is read, held, running, owed or in doubt there. GO: its work may
# begin. NEEDED: its work has not begun, and the others can't do without it. GONE: its life is over. BACK: a
# later life of it reports. WARM: that one has warmed up, and answers. LATE: it has not come back in its time.
# TAKEN_BACK: an operator wants it no more.
CHOSEN, BEGAN, UNTAKEN, EMPTIED, GO, NEEDED, GONE, BACK, WARM, LATE, TAKEN_BACK = range(11)

# (state, input) -> (next state, effect). A state of None ends the row. A missing pair changes nothing.
TABLE = {
    (WAITING, CHOSEN): (GRANTED, "grant"),
    (WAITING, TAKEN_BACK): (None, "end"),
    (GRANTED, BEGAN): (DRAINING, "move"),
    (GRANTED, UNTAKEN): (WAITING, "line_up"),
    (GRANTED, EMPTIED): (EMPTY, "move"),
    (GRANTED, GONE): (WORKING, "move"),
    (DRAINING, EMPTIED): (EMPTY, "move"),
    (DRAINING, GONE): (WORKING, "move"),
    (EMPTY, GO): (WORKING, "move"),
    (EMPTY, NEEDED): (RETURNING, "move"),
    (EMPTY, GONE): (WORKING, "move"),
    (EMPTY, TAKEN_BACK): (RETURNING, "move"),
    (WORKING, BACK): (WARMING, "return_"),
    (WORKING, UNTAKEN): (WAITING, "line_up"),  # it was only cut off
    (WORKING, LATE): (WORKING, "tell_late"),
    (RETURNING, BACK): (WARMING, "return_"),
    (RETURNING, LATE): (RETURNING, "tell_late"),
    (WARMING, WARM): (None, "end"),
    (WARMING, GONE): (WORKING, "move"),
}

PASSED = 8  # times that another may go before one that waits: then it goes before all, urgent or not
FRESH = 4.0  # leases after which a report says nothing any more: two may be lost
DOUBTED = 0.5  # of its capacity that a suspected server counts for
RESERVE = 0.5  # of `spare` that must still be there while one that is empty does its work: else it is needed


class Row(NamedTuple):
    """One request, as the log has it."""

    server: str
    number: int  # in the order in which they were asked
    why: str
    urgent: bool
    work: float  # s that its work may take, from when it was empty
    state: int = WAITING
    fence: int = 0  # of its grant
    life: int = 0  # of the server, when it was granted; of the one that came back, while that warms up
    passed: int = 0  # others that went before it
    late: bool = False
    unwanted: bool = False  # taken back after it was granted: it comes back without its work

    def packed(self):
        return list(self)


def read_row(said):
    """A Row from what `packed` gave. Raises TypeError or ValueError."""
    server, number, why, urgent, work, state, fence, life, passed, late, unwanted = said
    if not 0 <= int(state) < len(STATES):
        raise ValueError(state)
    return Row(
        str(server),
        int(number),
        str(why),
        bool(urgent),
        float(work),
        int(state),
        int(fence),
        int(life),
        int(passed),
        bool(late),
        bool(unwanted),
    )


class View(NamedTuple):
    """A server as its reports and the membership have it."""

    name: str
    zone: str
    life: int
    there: bool  # alive, as far as is known
    doubted: bool = False
    cores: float = 1.0
    busy: float = 0.0  # share of them, as a mean of seconds
    warm: float = 1.0  # share of its speed that it has by now
    strained: bool = False  # at a level of reduced service, or turning many back
    answers: int = 0  # delivered by this life
    doing: int = WAITING  # DRAINING or EMPTY, under `fence`; else it serves
    fence: int = 0
    heard: float = 0.0  # s, of the owner's clock


def seen(name, report, zone, life, alive, doubted):
    """A View of one server from its last report, or None, and what the membership has: zone, life (0 where it
    is not known), whether it is alive and doubted. A report of an earlier life tells nothing of the one that
    is there: a turn granted by it would be one of a life that is over, and count as done."""
    if report is None or life > report.life:
        return View(name, zone, life, alive, doubted, heard=-math.inf)
    return report._replace(there=alive and life == report.life, doubted=doubted)


class Limits(NamedTuple):
    """[turns] of the operator's file."""

    most: int
    share: float
    one_zone: bool
    spare: float
    answers: int  # that one which returned has to have given, unless nobody asks it
    idle: float  # s after which one that nobody asks counts as proved
    keep: bool  # one that does not return keeps its place


class Order:
    """The owner's look at all of it; `lasts` is how long a server may take up a grant, s."""

    def __init__(self, limits, lease, lasts, now):
        self.limits, self.lease, self.lasts, self.since_owner = limits, lease, lasts, now
        self.since = {}  # server -> (state, s since when this owner knows it to be so)
        self.reasons = {}  # server -> why it waits, in words
        self.granted_at = {}  # server -> when this owner told it last that it may go, at the latest

    # ---- what is known

    def known(self, now, views):
        return {
            name: view
            for name, view in views.items()
            if view.there and now - view.heard <= FRESH * self.lease
        }

    @staticmethod
    def capacity(known, out):
        """Cores' worth that is in service: cold and doubted ones count for what they can carry, those that
        are out or were not heard for nothing."""
        return sum(
            view.cores * view.warm * (DOUBTED if view.doubted else 1.0)
            for name, view in known.items()
            if name not in out
        )

    @staticmethod
    def load(known):
        return sum(view.cores * view.warm * view.busy for view in known.values())

    def out(self, rows, views):
        """Names that are out: by a request, or lost without one."""
        asked = {row.server for row in rows if row.state != WAITING}
        return asked | {name for name, view in views.items() if not view.there}

    def allowed(self, views):
        """Servers that may be out at once."""
        return max(1, min(self.limits.most, math.floor(self.limits.share * len(views))))

    # ---- the look

    def look(self, now, rows, views, held):
        """Facts to propose: ("turn", packed row) or ("turned", server). rows: as committed. held: nobody else
        goes out."""
        facts, seen, known = [], {row.server for row in rows}, self.known(now, views)
        self.since = {name: at for name, at in self.since.items() if name in seen}
        for row in rows:
            if self.since.get(row.server, (None,))[0] != row.state:
                self.since[row.server] = row.state, now
            given = self.given(now, row, views.get(row.server), rows, views, known)
            if given is not None:
                facts += self.step(row, given, views[row.server].life if row.server in views else None)
        if not facts:  # one thing after another: what is out counts once it is committed
            facts += self.choose(now, rows, views, known, held)
        return facts

    def given(self, now, row, view, rows, views, known):
        """The input that holds for a row, or None."""
        if row.state == WAITING:
            return TAKEN_BACK if row.unwanted else None
        since = now - self.since[row.server][1]
        there = view is not None and view.there
        later = view is not None and view.life > row.life
        fresh = there and now - view.heard <= FRESH * self.lease
        if row.state in (WORKING, RETURNING):
            if later and fresh:
                return BACK
            if fresh and view.doing == WAITING and self.can_t_take_up(row, view):
                return UNTAKEN
            return LATE if not row.late and since > row.work else None
        if row.state == WARMING:
            if not there or view.life > row.life:
                return GONE
            proved = view.answers >= self.limits.answers or since >= self.limits.idle
            return WARM if fresh and view.warm >= 1.0 and proved and not view.strained else None
        if not there or later:
            return GONE
        if view.doing == EMPTY and view.fence == row.fence:
            if row.state != EMPTY:
                return EMPTIED
            return self.after_empty(row, rows, views, known)
        if view.doing == DRAINING and view.fence == row.fence:
            return BEGAN if row.state == GRANTED else None
        return UNTAKEN if row.state == GRANTED and fresh and self.can_t_take_up(row, view) else None

    def can_t_take_up(self, row, view):
        """It was heard to serve after no word of any owner could be good any more."""
        granted = self.granted_at.get(row.server, -math.inf)
        told = max(granted, self.since_owner, self.since[row.server][1])
        return view.heard > told + self.lasts

    def after_empty(self, row, rows, views, known):
        if row.unwanted:
            return TAKEN_BACK
        out = self.out(rows, views)
        room = self.capacity(known, out) * (1 - RESERVE * self.limits.spare)
        if self.under_strain(known) or self.load(known) > room or not self.enough(known, views):
            return NEEDED
        return GO

    @staticmethod
    def under_strain(known):
        """Names of those that serve and can hardly: one that drains says so of itself, which is no strain."""
        return sorted(name for name, view in known.items() if view.strained and view.doing == WAITING)

    @staticmethod
    def enough(known, views):
        """Whether more than half of all that are known of report: a new owner waits, a minority decides
        nothing."""
        return 2 * len(known) > len(views)

    def choose(self, now, rows, views, known, held):
        """At most one grant, and who is passed by it."""
        out = self.out(rows, views)
        waiting = [row for row in rows if row.state == WAITING and not row.unwanted]
        waiting.sort(key=lambda row: (row.passed < PASSED, not row.urgent, row.number))
        self.reasons, passed = {}, []
        for row in waiting:
            why = self.why_not(now, row, rows, views, known, out, held)
            if why is None and passed and passed[0].passed >= PASSED:
                why = f"waits for {passed[0].server}, which was passed {PASSED} times"
            if why is not None:
                self.reasons[row.server] = why
                passed.append(row)
                continue
            for other in waiting[waiting.index(row) + 1 :]:
                self.reasons[other.server] = f"waits for {row.server}, which goes first"
            return [
                *self.step(row, CHOSEN, views[row.server].life),
                *(("turn", other._replace(passed=other.passed + 1).packed()) for other in passed),
            ]
        return []

    def why_not(self, now, row, rows, views, known, out, held):
        """In words, or None where it may go."""
        view = views.get(row.server)
        if held:
            return "turns are held by an operator"
        if view is None or not view.there:
            return "it is not there"
        if row.server not in known:
            return "it has not reported"
        if not self.enough(known, views):
            return "too few servers report"
        strained = self.under_strain(known)
        if strained:
            return "the fleet is under strain: " + ", ".join(strained[:3])
        others = sorted(out - {row.server})
        if len(others) >= self.allowed(views):
            return "waits for " + ", ".join(self.in_words(now, name, rows) for name in others[:3])
        zones = {views[name].zone for name in others if name in views}
        if self.limits.one_zone and view.zone != "-" and zones - {view.zone}:
            return f"waits for zone {', '.join(sorted(zones - {view.zone}))}"
        load, after = self.load(known), self.capacity(known, out | {row.server})
        if load > (1 - self.limits.spare) * after:
            return f"its cores are needed: {load:.1f} in use, {after:.1f} left without it"
        return None

    def in_words(self, now, name, rows):
        row = next((row for row in rows if row.server == name and row.state != WAITING), None)
        if row is None:
            return f"{name}, which was lost"
        return f"{name}, {STATES[row.state]} for {now - self.since.get(name, (0, now))[1]:.0f} s"

    # ---- the table's effects

    def step(self, row, given, life=None):
        found = TABLE.get((row.state, given))
        if found is None:
            return []
        state, effect = found
        return getattr(self, "do_" + effect)(row, state, life)

    def do_grant(self, row, state, life):
        return [("turn", row._replace(state=state, life=life, passed=0, late=False).packed())]

    def do_move(self, row, state, life):
        return [("turn", row._replace(state=state, late=False).packed())]

    def do_line_up(self, row, state, life):
        return [("turn", row._replace(state=state, fence=0, life=0).packed())]

    def do_return_(self, row, state, life):
        return [("turn", row._replace(state=state, life=life, late=False).packed())]

    def do_tell_late(self, row, state, life):
        if not self.limits.keep:
            return [("turned", row.server)]
        return [("turn", row._replace(late=True).packed())]

    def do_end(self, row, state, life):
        return [("turned", row.server)]

    # ---- what a server is told

    def word(self, now, row, view):
        """(verb, fence) for a server that reports: "stay", "out", "work" or "back"."""
        if row is None or row.state == WAITING:
            return "stay", 0
        if row.state == WARMING and view.life >= row.life:
            return "returned", row.fence
        if view.life > row.life:
            return "stay", 0
        if row.state == GRANTED:
            if row.unwanted:
                return "stay", 0
            self.granted_at[row.server] = now
            return "out", row.fence
        if row.state == WORKING and view.doing == EMPTY:
            return "work", row.fence
        if row.state == RETURNING and view.doing == EMPTY:
            return "back", row.fence
        return "stay", row.fence
