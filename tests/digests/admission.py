"""Feeds the admission rules of one server a generated load under several settings.

A small stand-in for the server follows the actions, so that what is told of each submission fits what the
rules decided: runs end, are stopped or go to their call, callers go, repeats come. Now and then an event
comes that its submission cannot meet, which has to change nothing.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.admission.controller import AdmissionController
from valeturn.admission.interface import (
    AnswerFromOriginal,
    Arrived,
    BypassCall,
    Call,
    CallEnded,
    CallerGone,
    CallQuotaChanged,
    CallRequested,
    DrainStarted,
    Effect,
    Ended,
    Fail,
    Gauges,
    Interrupt,
    Interruption,
    LevelChanged,
    LoadAdvertisement,
    Outcome,
    Reject,
    ServiceReduction,
    SetTimer,
    Settings,
    Start,
    Tenant,
    TimerFired,
    Workload,
)

STEPS = 400  # of each case
NUMBER_OF_CALLERS = 1100  # more than the rules remember
FIGURES_EACH = 8  # steps between two records of the state

WORKLOADS = (
    Workload(
        "read",
        Effect.IDEMPOTENT,
        1.0,
        3.0,
        1.0,
        late_value_share=0.2,
        makes_call=True,
        degraded_value_share=0.6,
    ),
    Workload("book", Effect.DEDUPLICATED, 2.0, 6.0, 5.0, deduplication_window=8.0),
    Workload("file", Effect.UNREPEATABLE, 2.0, 5.0, 3.0, makes_call=True),
    Workload("scan", Effect.IDEMPOTENT, 12.0, 25.0, 2.0, objective_stretch=3.0, makes_call=True),
)
PLAIN = Settings(
    workloads=WORKLOADS,
    tenants=(Tenant("a", 5.0), Tenant("b", 2.0)),
    servers=2,
    cores=2,
    memory=4000.0,
    run_memory_factor=4.0,
    key_memory=10.0,
    interruption=Interruption.CANCEL,
    tick=0.005,
    answer_slack=0.1,
    drain_grace=1.0,
    max_concurrency_per_core=8.0,
    cold_start_speed=0.2,
    warm_up_time=10.0,
    call_quota=4.0,
    call_quota_window=5.0,
    call_linger=0.2,
    max_retry_after=1.0,
    value_per_unit_of_work=True,
)
CASES = (
    PLAIN,
    PLAIN._replace(interruption=Interruption.SUSPEND, max_concurrency_per_core=2.0, cores=4),
    PLAIN._replace(interruption=Interruption.SUSPEND, max_concurrency_per_core=3.0),
    PLAIN._replace(interruption=Interruption.UNSUPPORTED, load_advertisement=LoadAdvertisement.LEVEL),
    PLAIN._replace(starts_cold=True, over_allowance_value=0.3),
    PLAIN._replace(tenants=(), value_per_unit_of_work=False, result_lifetime=2.0),
    PLAIN._replace(memory=260.0, key_memory=15.0, result_lifetime=0.5),
    PLAIN._replace(call_quota=0.6),
    PLAIN._replace(max_concurrency_per_core=1.0, cores=1, load_advertisement=LoadAdvertisement.LEVEL),
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
        self.rules = AdmissionController(settings, chance.randrange(1000), 0.0)
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
                events.append(DrainStarted(3.0))
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
        if isinstance(action, SetTimer):
            self.wake_at = self.now + action.delay
            return
        if not isinstance(action, (Start, Interrupt, Reject, Fail, Call, BypassCall, AnswerFromOriginal)):
            return
        one = self.live.get(action.id)
        if one is None:
            return
        if isinstance(action, Start):
            one.fresh = one.state == "waiting" and not one.halted
            one.state = "running"
            one.halted = False
            one.ends_at = self.now + one.work * (8.0 if self.slow else 1.0)
        elif isinstance(action, Interrupt):
            one.halted = True
        elif isinstance(action, (Reject, Fail)):
            self.answered(one)
        elif isinstance(action, Call):
            one.state = "calling"
            one.call_ends_at = self.now + min(
                action.timeout, self.chance.expovariate(1.0 if self.slow else 12.0)
            )
        elif isinstance(action, BypassCall):
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
            events.append(LevelChanged(self.level()))
        if self.chance.random() < 0.01:
            events.append(CallQuotaChanged(self.chance.choice((0.3, 1.0, 4.0))))
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
            events.append(TimerFired(self.wakes, self.gauges()))
        return events

    def event_of(self, one: Submission, events: list[object]) -> None:
        """Generate at most one event of a submission."""
        roll = self.chance.random()
        if one.owed and roll < 0.01:
            one.owed = False
            events.append(CallerGone(one.number))
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
        elif WORKLOADS[one.workload].makes_call and one.calls_left and roll < 0.12:
            one.calls_left -= 1
            one.state = "at call"
            events.append(CallRequested(one.number))
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
            is_retry=chance.random() < 0.2,
            subject=f"k{chance.randrange(12)}",
            caller=chance.randrange(4),
            memory=chance.uniform(2.0, 30.0),
            time_left=chance.choice((None, 0.15, 1.0, 1.01, 3.0, 20.0)),
            duplicate_of=first,
            cost_hint=chance.choice((None, work, work * chance.uniform(0.5, 2.0))),
            deduplication_ready_in=chance.choice((0.0, 0.0, 0.0, 0.0, 0.3, 9.0)),
        )
        self.live[self.number] = Submission(self.number, workload, first, work)
        return newcomer

    def stray(self) -> object:
        """Generate an event of a submission that is over, or one that its state cannot meet."""
        kind = self.chance.randrange(4)
        waiting = [one.number for one in self.live.values() if one.state in ("waiting", "joined")]
        number = self.chance.choice([0, *self.old[-4:], *waiting])
        if kind == 0:
            return CallRequested(number)
        if kind == 1:
            return CallEnded(number, Outcome.ERROR, 0.02)
        if kind == 2 and number not in waiting:
            return Ended(number, Outcome.DONE, 0.1)
        return Ended(number, Outcome.CANCELLED, 0.0)

    def level(self) -> ServiceReduction:
        """Generate what a level of reduced service gives up."""
        if self.chance.random() < 0.4:
            return ServiceReduction()
        return ServiceReduction(
            bypass_call=frozenset(self.chance.sample(range(4), 2)),
            call_timeout_share=self.chance.choice((0.3, 1.0)),
            within_allowance_only=self.chance.random() < 0.5,
            min_rank=self.chance.choice((0.0, 0.3)),
            rejected_workloads=frozenset(self.chance.sample(range(4), self.chance.randrange(2))),
            exempt_share=self.chance.choice((0.0, 0.2)),
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
                events.append(Arrived(id=self.number, workload=0, caller=caller, time_left=left, rank=1.0))
                self.live[self.number] = Submission(self.number, 0, None, 0.1)
            self.decide(events)
        self.record(figures(self.rules))


def figures(rules: AdmissionController) -> list[object]:
    """Return some public figures of the rules' state."""
    return [
        rules.memory_in_use(),
        rules.count_on_cores(),
        rules.max_concurrency(),
        rules.concurrency_limit,
        rules.current_speed,
        rules.baseline_speed,
        rules.call_budget,
        rules.expected_call_time(),
        rules.min_call_timeout(),
        rules.advertised_load,
        rules.overloaded,
        len(rules.usual_timeouts),
    ]


def play(seed: int, record: Callable[[object], None]) -> None:
    """Play every case, recording all actions."""
    chance = random.Random(seed)
    for number, settings in enumerate(CASES):
        server = Server(chance, settings, record)
        server.run(leaves=(number + seed) % 3 == 0)
        if number == 0:
            server.many_callers()
