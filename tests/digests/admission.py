"""Drives the admission controller of one server with generated load under several settings.

A simulated server applies the actions, so that the events of each submission agree with the controller's
decisions: runs end, are interrupted or make their call, callers disconnect, duplicates arrive. Some events
are invalid in the state of their submission; they must change nothing.
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
NUMBER_OF_CALLERS = 1100  # more than the controller keeps
STATE_RECORD_STEPS = 8  # steps between two records of the state values

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
BASE_SETTINGS = Settings(
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
    BASE_SETTINGS,
    BASE_SETTINGS._replace(interruption=Interruption.SUSPEND, max_concurrency_per_core=2.0, cores=4),
    BASE_SETTINGS._replace(interruption=Interruption.SUSPEND, max_concurrency_per_core=3.0),
    BASE_SETTINGS._replace(interruption=Interruption.UNSUPPORTED, load_advertisement=LoadAdvertisement.LEVEL),
    BASE_SETTINGS._replace(starts_cold=True, over_allowance_value=0.3),
    BASE_SETTINGS._replace(tenants=(), value_per_unit_of_work=False, result_lifetime=2.0),
    BASE_SETTINGS._replace(memory=260.0, key_memory=15.0, result_lifetime=0.5),
    BASE_SETTINGS._replace(call_quota=0.6),
    BASE_SETTINGS._replace(max_concurrency_per_core=1.0, cores=1, load_advertisement=LoadAdvertisement.LEVEL),
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
    """State of one submission on the simulated server."""

    def __init__(self, number: int, workload: int, original: int | None, work: float) -> None:
        self.number = number
        self.workload = workload
        self.original = original
        self.work = work
        self.state = "waiting"
        self.answer_owed = True
        self.interrupted = False
        self.just_started = False
        self.calls_left = 2
        self.ends_at = 0.0
        self.call_ends_at = 0.0


class Server:
    """Generates the events of one case, applies the resulting actions and records them."""

    def __init__(
        self, random_source: random.Random, settings: Settings, record: Callable[[object], None]
    ) -> None:
        self.random_source = random_source
        self.settings = settings
        self.record = record
        self.controller = AdmissionController(settings, random_source.randrange(1000), 0.0)
        self.now = 0.0
        self.wake_at: float | None = None
        self.timer_count = 0
        self.number = 0
        self.active: dict[int, Submission] = {}
        self.finished: list[int] = []
        self.slow = False
        self.burst = False
        self.stop_at: float | None = None

    def run(self, drains: bool) -> None:
        """Run all steps of the case; with `drains`, the drain starts after three quarters of them."""
        for step in range(STEPS):
            self.now = round(self.now + self.settings.tick * self.random_source.choice((1, 2, 4, 8, 24)), 6)
            if step % 40 == 0:
                self.slow = self.random_source.random() < 0.35
                self.burst = self.random_source.random() < 0.5
            events = self.generate_events()
            if drains and step == 3 * STEPS // 4:
                events.append(DrainStarted(3.0))
                self.stop_at = self.now + 3.0
            if self.stop_at is not None and self.now >= self.stop_at:
                break
            self.decide(events)
            if step % STATE_RECORD_STEPS == 0:
                self.record(state_values(self.controller))

    def decide(self, events: list[object]) -> None:
        """Pass the events of one step to the controller, record its actions and apply them."""
        actions = self.controller.decide(self.now, events)
        self.record(actions)
        for action in actions:
            self.apply(action)

    # ---- actions

    def apply(self, action: object) -> None:
        """Apply one action to the state of its submission or to the timer."""
        if isinstance(action, SetTimer):
            self.wake_at = self.now + action.delay
            return
        if not isinstance(action, (Start, Interrupt, Reject, Fail, Call, BypassCall, AnswerFromOriginal)):
            return
        submission = self.active.get(action.id)
        if submission is None:
            return
        if isinstance(action, Start):
            submission.just_started = submission.state == "waiting" and not submission.interrupted
            submission.state = "running"
            submission.interrupted = False
            submission.ends_at = self.now + submission.work * (8.0 if self.slow else 1.0)
        elif isinstance(action, Interrupt):
            submission.interrupted = True
        elif isinstance(action, (Reject, Fail)):
            self.mark_answered(submission)
        elif isinstance(action, Call):
            submission.state = "calling"
            submission.call_ends_at = self.now + min(
                action.timeout, self.random_source.expovariate(1.0 if self.slow else 12.0)
            )
        elif isinstance(action, BypassCall):
            submission.state = "running"
            submission.calls_left = 0
        else:
            submission.state = "joined"

    def mark_answered(self, submission: Submission) -> None:
        """Mark a submission as answered; a run in progress still has to end."""
        submission.answer_owed = False
        if submission.state in ("waiting", "joined"):
            self.finish(submission)

    def finish(self, submission: Submission) -> None:
        """Remove a submission from the active ones and keep its number for later events."""
        del self.active[submission.number]
        self.finished.append(submission.number)

    # ---- events

    def generate_events(self) -> list[object]:
        """Generate the events since the last step."""
        events: list[object] = []
        if self.random_source.random() < 0.01:
            events.append(LevelChanged(self.generate_service_reduction()))
        if self.random_source.random() < 0.01:
            events.append(CallQuotaChanged(self.random_source.choice((0.3, 1.0, 4.0))))
        for submission in list(self.active.values()):
            self.add_event(submission, events)
        max_arrivals = 3 if self.burst else 1
        for _ in range(max_arrivals):
            if self.random_source.random() < 0.35 and len(self.active) < 60:
                events.append(self.generate_arrival())
        if self.random_source.random() < 0.03:
            events.append(self.generate_invalid_event())
        if self.wake_at is not None and self.wake_at <= self.now:
            self.wake_at = None
            self.timer_count += 1
            events.append(TimerFired(self.timer_count, self.generate_gauges()))
        return events

    def add_event(self, submission: Submission, events: list[object]) -> None:
        """Generate at most one event of a submission."""
        draw = self.random_source.random()
        if submission.answer_owed and draw < 0.01:
            submission.answer_owed = False
            events.append(CallerGone(submission.number))
            if submission.state in ("waiting", "joined"):
                self.finish(submission)
        elif submission.state == "running":
            self.add_run_event(submission, events)
        elif submission.state == "at call" and draw > 0.995:
            events.append(Ended(submission.number, Outcome.DONE, 0.1))
            self.finish(submission)
        elif submission.state == "calling":
            self.add_call_event(submission, events)
        elif submission.state == "joined" and submission.original not in self.active and draw < 0.3:
            events.append(Ended(submission.number, Outcome.DONE, 0.0))
            self.finish(submission)

    def add_run_event(self, submission: Submission, events: list[object]) -> None:
        """Generate at most one event of a running submission."""
        draw = self.random_source.random()
        if submission.just_started and draw < (0.01 if submission.answer_owed else 0.3):
            events.append(Ended(submission.number, Outcome.UNSTORED, 0.0))
            self.finish(submission)
        elif draw > 0.985 or (submission.interrupted and draw > 0.4):
            events.append(Ended(submission.number, Outcome.CANCELLED, 0.1))
            if submission.answer_owed:
                submission.state = "waiting"
            else:
                self.finish(submission)
        elif self.now >= submission.ends_at:
            outcome = Outcome.ERROR if self.random_source.random() < 0.1 else Outcome.DONE
            events.append(Ended(submission.number, outcome, submission.work))
            self.finish(submission)
        elif WORKLOADS[submission.workload].makes_call and submission.calls_left and draw < 0.12:
            submission.calls_left -= 1
            submission.state = "at call"
            events.append(CallRequested(submission.number))
        submission.just_started = submission.just_started and draw < 0.7

    def add_call_event(self, submission: Submission, events: list[object]) -> None:
        """Generate the end of a call, or the end of the run during its call."""
        if self.random_source.random() < 0.01:
            events.append(Ended(submission.number, Outcome.ERROR, 0.1))
            self.finish(submission)
        elif self.now >= submission.call_ends_at:
            outcome = self.random_source.choice(CALL_ENDS)
            duration = self.random_source.uniform(0.01, 1.0 if self.slow else 0.1)
            events.append(CallEnded(submission.number, outcome, duration))
            submission.state = "running" if outcome is Outcome.DONE else "at call"

    def generate_arrival(self) -> Arrived:
        """Generate the arrival of a submission, sometimes a duplicate of an earlier one."""
        random_source = self.random_source
        self.number += 1
        workload = random_source.randrange(len(WORKLOADS))
        work = random_source.choice((0.02, 0.1, 0.4, 1.5))
        originals = [
            submission.number
            for submission in self.active.values()
            if submission.workload == workload and submission.original is None
        ]
        originals += self.finished[-2:]
        original = None
        if originals and random_source.random() < 0.15:
            original = random_source.choice(originals)
        arrival = Arrived(
            id=self.number,
            workload=workload,
            tenant=random_source.choice((None, 0, 0, 1)) if self.settings.tenants else None,
            waited=random_source.uniform(0.0, 1.5) if self.slow else random_source.uniform(0.0, 0.1),
            rank=random_source.random(),
            is_retry=random_source.random() < 0.2,
            subject=f"k{random_source.randrange(12)}",
            caller=random_source.randrange(4),
            memory=random_source.uniform(2.0, 30.0),
            time_left=random_source.choice((None, 0.15, 1.0, 1.01, 3.0, 20.0)),
            duplicate_of=original,
            cost_hint=random_source.choice((None, work, work * random_source.uniform(0.5, 2.0))),
            deduplication_ready_in=random_source.choice((0.0, 0.0, 0.0, 0.0, 0.3, 9.0)),
        )
        self.active[self.number] = Submission(self.number, workload, original, work)
        return arrival

    def generate_invalid_event(self) -> object:
        """Generate an event of a finished submission, or one that is invalid in the submission's state."""
        kind = self.random_source.randrange(4)
        waiting = [
            submission.number
            for submission in self.active.values()
            if submission.state in ("waiting", "joined")
        ]
        number = self.random_source.choice([0, *self.finished[-4:], *waiting])
        if kind == 0:
            return CallRequested(number)
        if kind == 1:
            return CallEnded(number, Outcome.ERROR, 0.02)
        if kind == 2 and number not in waiting:
            return Ended(number, Outcome.DONE, 0.1)
        return Ended(number, Outcome.CANCELLED, 0.0)

    def generate_service_reduction(self) -> ServiceReduction:
        """Generate the service reduction of a degradation level."""
        if self.random_source.random() < 0.4:
            return ServiceReduction()
        return ServiceReduction(
            bypass_call=frozenset(self.random_source.sample(range(4), 2)),
            call_timeout_share=self.random_source.choice((0.3, 1.0)),
            within_allowance_only=self.random_source.random() < 0.5,
            min_rank=self.random_source.choice((0.0, 0.3)),
            rejected_workloads=frozenset(
                self.random_source.sample(range(4), self.random_source.randrange(2))
            ),
            exempt_share=self.random_source.choice((0.0, 0.2)),
        )

    def generate_gauges(self) -> Gauges:
        """Generate the gauges of the machine."""
        return Gauges(
            busy=self.random_source.choice((None, 0.3, 0.95)),
            runnable=self.random_source.choice((None, 0, 1, 6)),
            memory=0.5,
            connections=self.random_source.choice((None, 3, 300)),
        )

    def submit_from_many_callers(self) -> None:
        """Submit for more callers than the controller keeps, then again for some kept and evicted ones."""
        callers = [*range(NUMBER_OF_CALLERS), *range(0, NUMBER_OF_CALLERS, 50)]
        for start in range(0, len(callers), 100):
            self.now += 0.01
            events: list[object] = []
            for caller in callers[start : start + 100]:
                self.number += 1
                time_left = self.random_source.choice((0.05, 0.06, 0.1))
                events.append(
                    Arrived(id=self.number, workload=0, caller=caller, time_left=time_left, rank=1.0)
                )
                self.active[self.number] = Submission(self.number, 0, None, 0.1)
            self.decide(events)
        self.record(state_values(self.controller))


def state_values(controller: AdmissionController) -> list[object]:
    """Return some public values of the controller's state."""
    return [
        controller.memory_in_use(),
        controller.count_on_cores(),
        controller.max_concurrency(),
        controller.concurrency_limit,
        controller.current_speed,
        controller.baseline_speed,
        controller.call_budget,
        controller.expected_call_time(),
        controller.min_call_timeout(),
        controller.advertised_load,
        controller.overloaded,
        len(controller.usual_timeouts),
    ]


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run every case and record all actions."""
    random_source = random.Random(seed)
    for number, settings in enumerate(CASES):
        server = Server(random_source, settings, record)
        server.run(drains=(number + seed) % 3 == 0)
        if number == 0:
            server.submit_from_many_callers()
