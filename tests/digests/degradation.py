"""Drives the degradation levels: changing load, pins, cold starts, other configurations.

The signals are summed from generated calls and submissions, the conditions are read from texts.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.degradation.conditions import ConditionType
from valeturn.degradation.controller import DegradationController, DegradationLevel, State
from valeturn.degradation.signals import Signals
from valeturn.operator_config.value_types import InvalidValueError

STATES = (State.NORMAL, State.ACTIVE, State.PROBATION, State.PINNED)
STEPS = 4500
SWEEP = 0.25
ENTERS = (
    "calls.latency > 2 x usual for 1 s or cores.busy > 70 % for 2 s",
    "calls.latency > 400 ms for 1 s and turned_back < 90 % or calls.failing > 30 %",
    "unread.wait > 0.5 s for 2 s or turned_back > 20 % for 1 s or memory > 80 %",
    "calls.latency > 1.5 s or cores.busy > 97 % for 1 s",
)
LEAVES = (
    "calls.latency < 1.5 x usual for 2 s and cores.busy < 60 %",
    "calls.latency < 300 ms for 1 s and calls.failing < 10 %",
    "unread.wait < 200 ms for 1 s and turned_back < 5 % for 1 s and memory < 70 %",
    "calls.latency < 1 s and cores.busy < 90 % for 1 s",
)
UNREADABLE = (
    "",
    "calls.latency >",
    "nothing > 1 s",
    "calls.latency > 5",
    "calls.latency > 5 %",
    "memory > 5 h",
    "memory > 2 x usual",
    "calls.latency > 0 x usual",
    "memory > 100 %",
    "memory < 0 %",
    "calls.latency > 2 h",
    "calls.latency > 1 s for 11 min",
    "calls.latency > 1 s for 3 %",
    "memory > 5 /s",
    "memory > 5 xyz",
    "calls.latency > 1 s and",
)


def conditions(texts: tuple[str, ...], record: Callable[[object], None]) -> list[object]:
    """Parse texts and record each parsed condition and its formatted text."""
    read = []
    for text in texts:
        condition = ConditionType().read(text)
        record(str(condition))
        record([[list(one) for one in row] for row in condition.conjunctions])
        record([list(one) for one in condition.comparisons()])
        read.append(condition)
    return read


def record_condition_errors(record: Callable[[object], None]) -> None:
    """Record the errors of unreadable conditions."""
    for text in UNREADABLE:
        try:
            record([list(row[0]) for row in ConditionType().read(text).conjunctions])
        except InvalidValueError as error:
            record(list(error.args))


class Load:
    """The server's load, in successive phases of some seconds."""

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.phase_ends_at = 0.0
        self.change(0.0)

    def change(self, now: float) -> None:
        """Begin another phase, of normal or high load."""
        random_source = self.random_source
        high_load = random_source.random() < 0.5
        self.phase_ends_at = now + random_source.choice([1.0, 3.0, 10.0, 30.0])
        self.count = random_source.choice([0, 1, 5, 5])
        self.latency = random_source.choice([0.3, 0.6, 2.0]) if high_load else 0.1
        self.failing = random_source.choice([0.0, 0.0, 0.5]) if high_load else 0.01
        self.wait = random_source.choice([0.01, 0.9]) if high_load else 0.02
        self.rejected_share = random_source.choice([0.0, 0.1, 0.4]) if high_load else 0.0
        self.busy = random_source.choice([0.65, 0.8, 0.99]) if high_load else 0.4
        self.memory = random_source.choice([0.5, 0.75, 0.85]) if high_load else 0.3
        self.gauges = random_source.random() < 0.9

    def feed(self, now: float, signals: Signals) -> None:
        """Feed one sweep's worth to the signals."""
        random_source = self.random_source
        for _ in range(self.count):
            signals.record_call(
                now, self.latency * random_source.uniform(0.8, 1.2), random_source.random() < self.failing
            )
            signals.record_request(now, self.wait * random_source.uniform(0.8, 1.2))
            if random_source.random() < self.rejected_share:
                signals.record_rejection(now)
        if self.gauges and random_source.random() < 0.5:
            signals.record_gauges(now, self.busy, random_source.choice([self.memory, self.memory, None]))


def generated_levels(random_source: random.Random, enters: list, leaves: list) -> list[DegradationLevel]:
    """Return some of the levels, each with its own minimum stay."""
    levels = []
    for position, (enter, leave) in enumerate(zip(enters, leaves, strict=True)):
        if random_source.random() < 0.85:
            stay = random_source.choice([2.0, 3.0, 5.0])
            levels.append(DegradationLevel(f"level-{position}", position + 1, enter, leave, stay, None))
    random_source.shuffle(levels)
    return levels


def plain(changes: list | None) -> list[object] | None:
    """Return changes by position."""
    if changes is None:
        return None
    return [list(one) for one in changes]


def pin_or_unpin(
    random_source: random.Random, controller: DegradationController, now: float
) -> list[object] | None:
    """Pin a level, which may be unknown, or release the pinned one, and return the changes."""
    if random_source.random() < 0.7:
        name = f"level-{random_source.randrange(5)}"
        return plain(controller.pin(now, name, random_source.choice([1.0, 5.0, 20.0])))
    return plain(controller.unpin(now))


def play(seed: int, record: Callable[[object], None]) -> None:
    """Play some thousand sweeps and record each change."""
    random_source = random.Random(seed)
    record_condition_errors(record)
    enters = conditions(ENTERS, record)
    leaves = conditions(LEAVES, record)
    now = 0.0
    load = Load(random_source)
    signals = Signals(now)
    controller = DegradationController(generated_levels(random_source, enters, leaves), now)
    for step in range(STEPS):
        now += SWEEP
        on_trial = controller.state is State.PROBATION
        if now >= load.phase_ends_at or on_trial and random_source.random() < 0.2:
            load.change(now)
        load.feed(now, signals)
        read = signals.read(now)
        if controller.active_name is None:
            signals.learn_baselines(now, read)
        else:
            signals.skip_learning(now)
        kind = random_source.random()
        if kind < 0.008:
            record(pin_or_unpin(random_source, controller, now))
        elif kind < 0.012 or kind < 0.04 and controller.state in (State.PROBATION, State.PINNED):
            controller.configure(generated_levels(random_source, enters, leaves))
        cold = random_source.random() < 0.1
        record(plain(controller.step(now, read, signals.baselines, cold)))
        record([STATES.index(controller.state), controller.active_name, controller.exempt_ratio(now)])
        if step % 20 == 0:
            record(list(read.values()))
            record(list(signals.baselines.values()))
            record(list(controller.stay_factors.values()))
