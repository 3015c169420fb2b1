"""What each server does about the fleet's duties: who holds one, when a command runs. No I/O.

A duty is held in the term of an owner: a grant that was committed in an earlier term is not good in this one,
also where the owner is the same, as another may have acted between. Its fence is the grant's number.
"""

from __future__ import annotations

from typing import NamedTuple

# A duty, as this server has it.
IDLE, ASKED, HELD = range(3)
DUTY_STATES = ("elsewhere", "asked for", "held")
# LEADS: this server is the owner. GRANTED: a grant to it was committed in its term. LOST: it is the owner no
# more, or another term of its own began. REMOVED: its operator's file has the duty no more.
LEADS, GRANTED, LOST, REMOVED = range(4)

# (state, input) -> (next state, effect)
DUTY_TABLE = {
    (IDLE, LEADS): (ASKED, "ask"),
    (ASKED, LEADS): (ASKED, "ask_again"),
    (ASKED, GRANTED): (HELD, "take"),
    (ASKED, LOST): (IDLE, "let_go"),
    (ASKED, REMOVED): (IDLE, "drop"),
    (HELD, GRANTED): (HELD, "take"),
    (HELD, LOST): (IDLE, "let_go"),
    (HELD, REMOVED): (IDLE, "drop"),
}

# A command.
RESTING, RUNNING, STOPPING, DONE = range(4)
RUN_STATES = ("waiting", "running", "being stopped", "done")
# DUE: the duty is held and it is time. ENDED: the command's whole group is gone. LET_GO: the duty is held no
# more, or the server leaves. OVERDUE: it has run for longer than it may. TAKEN: the duty is held anew.
DUE, ENDED, LET_GO, OVERDUE, TAKEN = range(5)
RUN_TABLE = {
    (RESTING, DUE): (RUNNING, "start"),
    (RUNNING, ENDED): (RESTING, "ended"),
    (RUNNING, LET_GO): (STOPPING, "stop"),
    (RUNNING, OVERDUE): (STOPPING, "stop"),
    (RUNNING, TAKEN): (STOPPING, "stop"),  # under an older number
    (STOPPING, ENDED): (RESTING, "ended"),
    (DONE, TAKEN): (RESTING, "rest"),
    (DONE, LET_GO): (RESTING, "rest"),
}

AGAIN = 1.0  # s from an ask that came to nothing to the next: a committed grant takes two round trips
RETRY = 5.0  # s to the next start of a command that ended with a fault, where `every` says no time


class Propose(NamedTuple):
    fact: tuple


class Start(NamedTuple):
    """A command, under a fence."""

    name: str
    command: str
    fence: int
    patience: float


class Stop(NamedTuple):
    name: str


class Told(NamedTuple):
    """For the log: what became of a duty."""

    event: str
    fields: dict


class Duty:
    def __init__(self, name, options, now):
        self.name, self.options, self.state, self.run = name, options, IDLE, RESTING
        self.fence, self.term, self.asked_at, self.since = 0, None, -1e9, now
        self.due, self.started, self.last, self.runs = now, None, None, 0
        self.removed = False

    def holds(self, term):
        return self.state == HELD and self.term == term


class Duties:
    def __init__(self, name, life, now):
        self.name, self.life, self.duties, self.out = name, life, {}, []
        self.term = None  # of this server's own leadership, while it is the owner

    # ---- told

    def put(self, now, configured):
        """The operator's file has these now: name -> options. A changed one is taken as it stands at its next
        start; one that is gone is stopped and given back."""
        for name, options in configured.items():
            duty = self.duties.get(name)
            if duty is None or duty.removed:
                self.duties[name] = Duty(name, options, now)
            else:
                duty.options = options
        for name, duty in list(self.duties.items()):
            if name not in configured and not duty.removed:
                duty.removed = True
                self._run(now, duty, LET_GO)
                self._step(now, duty, REMOVED)
        return self._taken()

    def granted(self, now, term, name, fence):
        """A grant to this server was committed in a term of its own."""
        duty = self.duties.get(name)
        if duty is not None and term == self.term and not duty.removed:
            duty.fence, duty.term = fence, term
            self._step(now, duty, GRANTED)
        return self._taken()

    def ended(self, now, name, outcome):
        """A command and all it started are gone. outcome: {"code": ..., "why": ..., "tail": ...}."""
        duty = self.duties.get(name)
        if duty is not None:
            duty.last = {
                **outcome,
                "took": now - (duty.started if duty.started is not None else now),
                "fence": duty.fence,
            }
            self._run(now, duty, ENDED)
        return self._taken()

    def tick(self, now, term):
        """term: of this server's leadership while it may act, else None."""
        if term != self.term:
            self.term = term
            for duty in self.duties.values():
                if duty.state != IDLE:
                    self._step(now, duty, LOST)
        for duty in list(self.duties.values()):
            if duty.removed:
                if duty.run not in (RUNNING, STOPPING):
                    del self.duties[duty.name]
                continue
            if term is not None:
                self._step(now, duty, LEADS)
            if duty.run == RUNNING and now - duty.started >= duty.options.most:
                self._run(now, duty, OVERDUE)
            if duty.holds(term) and duty.options.do == "run" and duty.run == RESTING and now >= duty.due:
                self._run(now, duty, DUE)
        return self._taken()

    # ---- the tables' effects

    def _step(self, now, duty, given):
        found = DUTY_TABLE.get((duty.state, given))
        if found is not None:
            before, (duty.state, effect) = duty.state, found
            if duty.state != before:
                duty.since = now
            getattr(self, "do_" + effect)(now, duty)

    def do_ask(self, now, duty):
        duty.asked_at = now
        self.out.append(Propose(("grant", duty.name, self.name, self.life)))

    def do_ask_again(self, now, duty):
        if now - duty.asked_at >= AGAIN:
            self.do_ask(now, duty)

    def do_take(self, now, duty):
        duty.due = now
        self.out.append(Told("duty_held", {"duty": duty.name, "fence": duty.fence, "term": duty.term}))
        self._run(now, duty, TAKEN)

    def do_let_go(self, now, duty):
        self.out.append(Told("duty_let_go", {"duty": duty.name, "fence": duty.fence}))
        duty.term = None
        self._run(now, duty, LET_GO)

    def do_drop(self, now, duty):
        """Given back once its command is gone."""
        self.do_let_go(now, duty)
        if duty.run not in (RUNNING, STOPPING):
            self.out.append(Propose(("drop", duty.name)))

    def _run(self, now, duty, given):
        found = RUN_TABLE.get((duty.run, given))
        if found is not None:
            duty.run, effect = found
            getattr(self, "do_" + effect)(now, duty)

    def do_start(self, now, duty):
        duty.started, duty.runs = now, duty.runs + 1
        self.out.append(Start(duty.name, duty.options.command, duty.fence, duty.options.patience))

    def do_stop(self, now, duty):
        self.out.append(Stop(duty.name))

    def do_ended(self, now, duty):
        o = duty.options
        good = duty.last["code"] == 0
        duty.due = max(now, duty.started + o.every) if o.every is not None else now + RETRY
        if good and o.every is None and not duty.removed and duty.state == HELD:
            duty.run = DONE
        if duty.removed and self.term is not None:
            self.out.append(Propose(("drop", duty.name)))
        self.out.append(Told("duty_ran", {"duty": duty.name, **duty.last}))

    def do_rest(self, now, duty):
        duty.due = now

    def _taken(self):
        out, self.out = self.out, []
        return out

    def figures(self, now):
        return {
            name: {
                "state": DUTY_STATES[duty.state],
                "for_s": round(now - duty.since, 1),
                "does": duty.options.do,
                "fence": duty.fence,
                "run": RUN_STATES[duty.run],
                "runs": duty.runs,
                "last": duty.last,
            }
            for name, duty in sorted(self.duties.items())
        }
