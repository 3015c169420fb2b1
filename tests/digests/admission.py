"""Feeds the admission rules of one server a generated load under several settings.

A small stand-in for the server follows the actions, so that what is told of each submission fits what the
rules decided: runs end, are stopped or go to their call, callers go, repeats come. Now and then an event
comes that its submission cannot meet, which has to change nothing.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.admission.controller import Rules
from valeturn.admission.interface import (
    AnswerFrom,
    Arrived,
    AtCall,
    Call,
    CallEnded,
    CallsShare,
    Effect,
    Ended,
    Gauges,
    Gone,
    GoWithout,
    Halt,
    Halting,
    Leave,
    Level,
    Outcome,
    Reduced,
    Saying,
    Settings,
    Start,
    Tenant,
    TurnBack,
    Wake,
    Woken,
    Workload,
    WriteOff,
)

STEPS = 400  # of each case
NUMBER_OF_CALLERS = 1100  # more than the rules remember
FIGURES_EACH = 8  # steps between two records of the state

WORKLOADS = (
    Workload("read", Effect.IDEMPOTENT, 1.0, 3.0, 1.0, late_share=0.2, calls=True, poorer_share=0.6),
    Workload("book", Effect.DEDUPLICATED, 2.0, 6.0, 5.0, window=8.0),
    Workload("file", Effect.UNREPEATABLE, 2.0, 5.0, 3.0, calls=True),
    Workload("scan", Effect.IDEMPOTENT, 12.0, 25.0, 2.0, goal_stretch=3.0, calls=True),
)
PLAIN = Settings(
    workloads=WORKLOADS,
    tenants=(Tenant("a", 5.0), Tenant("b", 2.0)),
    servers=2,
    cores=2,
    memory=4000.0,
    run_memory_factor=4.0,
    key_memory=10.0,
    halting=Halting.DROP,
    tick=0.005,
    answer_slack=0.1,
    drain_grace=1.0,
    crowd_factor=8.0,
    cold_speed=0.2,
    cold_time=10.0,
    calls_share=4.0,
    calls_window=5.0,
    call_linger=0.2,
    longest_advice=1.0,
    by_work=True,
)
CASES = (
    PLAIN,
    PLAIN._replace(halting=Halting.PAUSE, crowd_factor=2.0, cores=4),
    PLAIN._replace(halting=Halting.PAUSE, crowd_factor=3.0),
    PLAIN._replace(halting=Halting.OFF, saying=Saying.LEVEL),
    PLAIN._replace(cold=True, over_share_worth=0.3),
    PLAIN._replace(tenants=(), by_work=False, fresh_for=2.0),
    PLAIN._replace(memory=260.0, key_memory=15.0, fresh_for=0.5),
    PLAIN._replace(calls_share=0.6),
    PLAIN._replace(crowd_factor=1.0, cores=1, saying=Saying.LEVEL),
)
CALL_ENDS = (
    Outcome.DONE,
    Outcome.DONE,
    Outcome.DONE,
    Outcome.ERROR,
    Outcome.REFUSED,
    Outcome.TIMED_OUT,
    Outcome.UNREACHED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.MOOT,
)


class Submission:
    """One submission as the server has it."""

    def __init__(self, number: int, workload: int, first: int | None, work: float) -> None:
        self.number = number
        self.workload = workload
        self.first = first
        self.work = work
        self.state = "waiting"
        self.owed = True
        self.halted = False
        self.fresh = False
        self.calls_left = 2
        self.ends_at = 0.0
        self.call_ends_at = 0.0


class Server:
    """Generates the events of one case, follows the actions and records them."""

    def __init__(self, chance: random.Random, settings: Settings, record: Callable[[object], None]) -> None:
        self.chance = chance
        self.settings = settings
        self.record = record
        self.rules = Rules(settings, chance.randrange(1000), 0.0)
        self.now = 0.0
        self.wake_at: float | None = None
        self.wakes = 0
        self.number = 0
        self.live: dict[int, Submission] = {}
        self.old: list[int] = []
        self.slow = False
        self.flood = False
        self.stop_at: float | None = None

    def run(self, leaves: bool) -> None:
        """Play all steps of the case."""
        for step in range(STEPS):
            self.now = round(self.now + self.settings.tick * self.chance.choice((1, 2, 4, 8, 24)), 6)
            if step % 40 == 0:
                self.slow = self.chance.random() < 0.35
                self.flood = self.chance.random() < 0.5
            events = self.events()
            if leaves and step == 3 * STEPS // 4:
                events.append(Leave(3.0))
                self.stop_at = self.now + 3.0
            if self.stop_at is not None and self.now >= self.stop_at:
                break
            self.decide(events)
            if step % FIGURES_EACH == 0:
                self.record(figures(self.rules))

    def decide(self, events: list[object]) -> None:
        """Give the rules the events of a moment and follow their actions."""
        actions = self.rules.decide(self.now, events)
        self.record(actions)
        for action in actions:
            self.follow(action)

    # ---- the actions

    def follow(self, action: object) -> None:
        """Do what one action says."""
        if isinstance(action, Wake):
            self.wake_at = self.now + action.after
            return
        if not isinstance(action, (Start, Halt, TurnBack, WriteOff, Call, GoWithout, AnswerFrom)):
            return
        one = self.live.get(action.id)
        if one is None:
            return
        if isinstance(action, Start):
            one.fresh = one.state == "waiting" and not one.halted
            one.state = "running"
            one.halted = False
            one.ends_at = self.now + one.work * (8.0 if self.slow else 1.0)
        elif isinstance(action, Halt):
            one.halted = True
        elif isinstance(action, (TurnBack, WriteOff)):
            self.answered(one)
        elif isinstance(action, Call):
            one.state = "calling"
            one.call_ends_at = self.now + min(
                action.wait, self.chance.expovariate(1.0 if self.slow else 12.0)
            )
        elif isinstance(action, GoWithout):
            one.state = "running"
            one.calls_left = 0
        else:
            one.state = "joined"

    def answered(self, one: Submission) -> None:
        """Its caller has an answer; what runs still has to end."""
        one.owed = False
        if one.state in ("waiting", "joined"):
            self.over(one)

    def over(self, one: Submission) -> None:
        """Nothing more is owed or runs."""
        del self.live[one.number]
        self.old.append(one.number)

    # ---- the events

    def events(self) -> list[object]:
        """Generate what has happened since the last step."""
        events: list[object] = []
        if self.chance.random() < 0.01:
            events.append(Level(self.level()))
        if self.chance.random() < 0.01:
            events.append(CallsShare(self.chance.choice((0.3, 1.0, 4.0))))
        for one in list(self.live.values()):
            self.event_of(one, events)
        most = 3 if self.flood else 1
        for _ in range(most):
            if self.chance.random() < 0.35 and len(self.live) < 60:
                events.append(self.arrival())
        if self.chance.random() < 0.03:
            events.append(self.stray())
        if self.wake_at is not None and self.wake_at <= self.now:
            self.wake_at = None
            self.wakes += 1
            events.append(Woken(self.wakes, self.gauges()))
        return events

    def event_of(self, one: Submission, events: list[object]) -> None:
        """Generate at most one event of a submission."""
        roll = self.chance.random()
        if one.owed and roll < 0.01:
            one.owed = False
            events.append(Gone(one.number))
            if one.state in ("waiting", "joined"):
                self.over(one)
        elif one.state == "running":
            self.event_of_run(one, events)
        elif one.state == "at call" and roll > 0.995:
            events.append(Ended(one.number, Outcome.DONE, 0.1))
            self.over(one)
        elif one.state == "calling":
            self.event_of_call(one, events)
        elif one.state == "joined" and one.first not in self.live and roll < 0.3:
            events.append(Ended(one.number, Outcome.DONE, 0.0))
            self.over(one)

    def event_of_run(self, one: Submission, events: list[object]) -> None:
        """Generate what may become of a run."""
        roll = self.chance.random()
        if one.fresh and roll < (0.01 if one.owed else 0.3):
            events.append(Ended(one.number, Outcome.UNSTORED, 0.0))
            self.over(one)
        elif roll > 0.985 or (one.halted and roll > 0.4):
            events.append(Ended(one.number, Outcome.CANCELLED, 0.1))
            if one.owed:
                one.state = "waiting"
            else:
                self.over(one)
        elif self.now >= one.ends_at:
            outcome = Outcome.ERROR if self.chance.random() < 0.1 else Outcome.DONE
            events.append(Ended(one.number, outcome, one.work))
            self.over(one)
        elif WORKLOADS[one.workload].calls and one.calls_left and roll < 0.12:
            one.calls_left -= 1
            one.state = "at call"
            events.append(AtCall(one.number))
        one.fresh = one.fresh and roll < 0.7

    def event_of_call(self, one: Submission, events: list[object]) -> None:
        """Generate the end of a call, or of the run during it."""
        if self.chance.random() < 0.01:
            events.append(Ended(one.number, Outcome.ERROR, 0.1))
            self.over(one)
        elif self.now >= one.call_ends_at:
            outcome = self.chance.choice(CALL_ENDS)
            took = self.chance.uniform(0.01, 1.0 if self.slow else 0.1)
            events.append(CallEnded(one.number, outcome, took))
            one.state = "running" if outcome is Outcome.DONE else "at call"

    def arrival(self) -> Arrived:
        """Generate a newcomer, now and then one that repeats an earlier one."""
        chance = self.chance
        self.number += 1
        workload = chance.randrange(len(WORKLOADS))
        work = chance.choice((0.02, 0.1, 0.4, 1.5))
        known = [one.number for one in self.live.values() if one.workload == workload and one.first is None]
        known += self.old[-2:]
        first = None
        if known and chance.random() < 0.15:
            first = chance.choice(known)
        newcomer = Arrived(
            id=self.number,
            workload=workload,
            tenant=chance.choice((None, 0, 0, 1)) if self.settings.tenants else None,
            waited=chance.uniform(0.0, 1.5) if self.slow else chance.uniform(0.0, 0.1),
            rank=chance.random(),
            retry=chance.random() < 0.2,
            subject=f"k{chance.randrange(12)}",
            caller=chance.randrange(4),
            memory=chance.uniform(2.0, 30.0),
            left=chance.choice((None, 0.15, 1.0, 1.01, 3.0, 20.0)),
            repeats=first,
            cost_hint=chance.choice((None, work, work * chance.uniform(0.5, 2.0))),
            room_in=chance.choice((0.0, 0.0, 0.0, 0.0, 0.3, 9.0)),
        )
        self.live[self.number] = Submission(self.number, workload, first, work)
        return newcomer

    def stray(self) -> object:
        """Generate an event of a submission that is over, or one that its state cannot meet."""
        kind = self.chance.randrange(4)
        waiting = [one.number for one in self.live.values() if one.state in ("waiting", "joined")]
        number = self.chance.choice([0, *self.old[-4:], *waiting])
        if kind == 0:
            return AtCall(number)
        if kind == 1:
            return CallEnded(number, Outcome.ERROR, 0.02)
        if kind == 2 and number not in waiting:
            return Ended(number, Outcome.DONE, 0.1)
        return Ended(number, Outcome.CANCELLED, 0.0)

    def level(self) -> Reduced:
        """Generate what a level of reduced service gives up."""
        if self.chance.random() < 0.4:
            return Reduced()
        return Reduced(
            without_call=frozenset(self.chance.sample(range(4), 2)),
            call_wait=self.chance.choice((0.3, 1.0)),
            within_share=self.chance.random() < 0.5,
            least_rank=self.chance.choice((0.0, 0.3)),
            turn_back=frozenset(self.chance.sample(range(4), self.chance.randrange(2))),
            spared=self.chance.choice((0.0, 0.2)),
        )

    def gauges(self) -> Gauges:
        """Generate what the machine shows at a sweep."""
        return Gauges(
            busy=self.chance.choice((None, 0.3, 0.95)),
            runnable=self.chance.choice((None, 0, 1, 6)),
            memory=0.5,
            connections=self.chance.choice((None, 3, 300)),
        )

    def many_callers(self) -> None:
        """Give the rules more callers than they remember, then some that it has forgotten or not."""
        callers = [*range(NUMBER_OF_CALLERS), *range(0, NUMBER_OF_CALLERS, 50)]
        for start in range(0, len(callers), 100):
            self.now += 0.01
            events: list[object] = []
            for caller in callers[start : start + 100]:
                self.number += 1
                left = self.chance.choice((0.05, 0.06, 0.1))
                events.append(Arrived(id=self.number, workload=0, caller=caller, left=left, rank=1.0))
                self.live[self.number] = Submission(self.number, 0, None, 0.1)
            self.decide(events)
        self.record(figures(self.rules))


def figures(rules: Rules) -> list[object]:
    """Return some public figures of the rules' state."""
    return [
        rules.memory(),
        rules.on_cores(),
        rules.crowd(),
        rules.limit,
        rules.pace,
        rules.best,
        rules.credit,
        rules.call_time(),
        rules.least_wait(),
        rules.level,
        rules.pressed,
        len(rules.usual),
    ]


def play(seed: int, record: Callable[[object], None]) -> None:
    """Play every case, recording all actions."""
    chance = random.Random(seed)
    for number, settings in enumerate(CASES):
        server = Server(chance, settings, record)
        server.run(leaves=(number + seed) % 3 == 0)
        if number == 0:
            server.many_callers()
