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


def generated_options(chance: random.Random, name: str) -> SingletonTaskOptions:
    """Return one task with plausible options."""
    if name == "share":
        return SingletonTaskOptions("share-calls", None, None, 60.0, 1.0, "clock", 50, 0.5)
    every = chance.choice([None, 3.0, 10.0])
    most = chance.choice([2.0, 3.0])
    patience = chance.choice([0.5, 1.0])
    return SingletonTaskOptions("run", f"do {name} {every}", every, most, patience, "number", None, 0.5)


def generated_file(chance: random.Random) -> dict[str, SingletonTaskOptions]:
    """Return the tasks of another operator's file."""
    names = [name for name in NAMES if chance.random() < 0.8]
    return {name: generated_options(chance, name) for name in names}


def plain(value: object) -> object:
    """Return tuples as lists and mappings as the list of their values, at any depth."""
    if isinstance(value, dict):
        return [plain(one) for one in value.values()]
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    return value


class Fleet:
    """The surroundings of the tasks: the leader's log and the running commands."""

    def __init__(self, chance: random.Random, record: Callable[[object], None]) -> None:
        self.chance = chance
        self.record = record
        self.now = 0.0
        self.fence = 0
        self.terms = 1
        self.term: int | None = None
        self.duties = SingletonTasks("me", 4)
        self.asked: list[str] = []
        self.running: dict[str, int] = {}

    def take(self, effects: list) -> None:
        """Record effects, requested grants and started commands."""
        for effect in effects:
            kind = EFFECTS.index(type(effect))
            self.record([kind, plain(effect)])
            if kind == 0 and effect.entry[0] == "grant":
                self.asked.append(effect.entry[1])
            elif kind == 1:
                self.running[effect.task] = effect.fencing_token

    def grant(self) -> None:
        """Commit a grant: a requested one, a repeated one, or one of an earlier term."""
        name = self.chance.choice(NAMES)
        if self.asked and self.chance.random() < 0.9:
            name = self.asked.pop(0)
        term = self.terms
        if self.chance.random() < 0.1:
            term -= 1
        self.fence += 1
        self.take(self.duties.grant_committed(self.now, term, name, self.fence))

    def end(self) -> None:
        """End a command, with success or failure; sometimes one that never ran."""
        name = self.chance.choice([*self.running, "nobody"])
        self.running.pop(name, None)
        code = self.chance.choice([0, 0, 1])
        outcome = CommandOutcome(code, f"code {code}", "" if code == 0 else "fault")
        self.take(self.duties.command_ended(self.now, name, outcome))

    def other_term(self) -> None:
        """Gain, lose or change leadership."""
        if self.term is not None and self.chance.random() < 0.5:
            self.term = None
            return
        self.terms += self.chance.choice([1, 2])
        self.term = self.terms
        self.asked.clear()

    def figures(self) -> None:
        """Record the status of the tasks."""
        for name, shown in self.duties.status(self.now).items():
            self.record([name, plain(shown)])


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run some thousand steps and record each effect."""
    chance = random.Random(seed)
    fleet = Fleet(chance, record)
    fleet.take(fleet.duties.configure(fleet.now, generated_file(chance)))
    for step in range(STEPS):
        fleet.now += chance.uniform(0.0, 0.4)
        kind = chance.random()
        if kind < 0.015:
            fleet.other_term()
        elif kind < 0.03:
            fleet.take(fleet.duties.configure(fleet.now, generated_file(chance)))
        elif kind < 0.2:
            fleet.grant()
        elif kind < 0.3:
            fleet.end()
        fleet.take(fleet.duties.tick(fleet.now, fleet.term))
        if step % 20 == 0:
            fleet.figures()
