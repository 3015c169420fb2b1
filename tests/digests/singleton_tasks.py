"""Drives the singleton tasks of one server: terms, grants, commands that end or exceed limits, reloads."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.cluster.singleton_tasks import (
    CommandOutcome,
    LogEvent,
    Propose,
    SingletonTasks,
    StartCommand,
    StopCommand,
)
from valeturn.cluster.task_options import SingletonTaskOptions

EFFECTS = (Propose, StartCommand, StopCommand, LogEvent)
STEPS = 5000
NAMES = ("clean", "report", "share", "sync", "tidy")


def generated_options(random_source: random.Random, name: str) -> SingletonTaskOptions:
    """Return one task with plausible options."""
    if name == "share":
        return SingletonTaskOptions("share-calls", None, None, 60.0, 1.0, "clock", 50, 0.5)
    interval = random_source.choice([None, 3.0, 10.0])
    max_duration = random_source.choice([2.0, 3.0])
    patience = random_source.choice([0.5, 1.0])
    return SingletonTaskOptions(
        "run", f"do {name} {interval}", interval, max_duration, patience, "number", None, 0.5
    )


def generated_file(random_source: random.Random) -> dict[str, SingletonTaskOptions]:
    """Return the tasks of another operator's file."""
    names = [name for name in NAMES if random_source.random() < 0.8]
    return {name: generated_options(random_source, name) for name in names}


def plain(value: object) -> object:
    """Return tuples as lists and mappings as the list of their values, at any depth."""
    if isinstance(value, dict):
        return [plain(one) for one in value.values()]
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    return value


class Fleet:
    """The surroundings of the tasks: the leader's log and the running commands."""

    def __init__(self, random_source: random.Random, record: Callable[[object], None]) -> None:
        self.random_source = random_source
        self.record = record
        self.now = 0.0
        self.fencing_token = 0
        self.terms = 1
        self.term: int | None = None
        self.tasks = SingletonTasks("me", 4)
        self.requested: list[str] = []
        self.running: dict[str, int] = {}

    def apply_effects(self, effects: list) -> None:
        """Record effects, requested grants and started commands."""
        for effect in effects:
            kind = EFFECTS.index(type(effect))
            self.record([kind, plain(effect)])
            if kind == 0 and effect.entry[0] == "grant":
                self.requested.append(effect.entry[1])
            elif kind == 1:
                self.running[effect.task] = effect.fencing_token

    def commit_grant(self) -> None:
        """Commit a grant: a requested one, a repeated one, or one of an earlier term."""
        name = self.random_source.choice(NAMES)
        if self.requested and self.random_source.random() < 0.9:
            name = self.requested.pop(0)
        term = self.terms
        if self.random_source.random() < 0.1:
            term -= 1
        self.fencing_token += 1
        self.apply_effects(self.tasks.grant_committed(self.now, term, name, self.fencing_token))

    def end_command(self) -> None:
        """End a command, with success or failure; sometimes one that never ran."""
        name = self.random_source.choice([*self.running, "nobody"])
        self.running.pop(name, None)
        code = self.random_source.choice([0, 0, 1])
        outcome = CommandOutcome(code, f"code {code}", "" if code == 0 else "fault")
        self.apply_effects(self.tasks.command_ended(self.now, name, outcome))

    def change_term(self) -> None:
        """Gain, lose or change leadership."""
        if self.term is not None and self.random_source.random() < 0.5:
            self.term = None
            return
        self.terms += self.random_source.choice([1, 2])
        self.term = self.terms
        self.requested.clear()

    def record_state(self) -> None:
        """Record the status of the tasks."""
        for name, shown in self.tasks.status(self.now).items():
            self.record([name, plain(shown)])


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run some thousand steps and record each effect."""
    random_source = random.Random(seed)
    fleet = Fleet(random_source, record)
    fleet.apply_effects(fleet.tasks.configure(fleet.now, generated_file(random_source)))
    for step in range(STEPS):
        fleet.now += random_source.uniform(0.0, 0.4)
        kind = random_source.random()
        if kind < 0.015:
            fleet.change_term()
        elif kind < 0.03:
            fleet.apply_effects(fleet.tasks.configure(fleet.now, generated_file(random_source)))
        elif kind < 0.2:
            fleet.commit_grant()
        elif kind < 0.3:
            fleet.end_command()
        fleet.apply_effects(fleet.tasks.tick(fleet.now, fleet.term))
        if step % 20 == 0:
            fleet.record_state()
