"""Drives the persistence of votes: effects in any order, slow and failing writes."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.cluster.raft import Committed, Persist, Send
from valeturn.cluster.raft_log import DurableState
from valeturn.cluster.replicated_state import ClusterState
from valeturn.cluster.vote_persistence import VotePersistence

EFFECTS = (Persist, Send, Committed)
STEPS = 5000


class Helper:
    """Replaces the worker thread: records the requested writes."""

    def __init__(self, record: Callable[[object], None]) -> None:
        self.record = record
        self.requested = 0

    def submit(self, kind: str, function: Callable[[bytes], None], *given: bytes) -> None:
        """Record one write, which ends when the driver ends it."""
        self.requested += 1
        self.record([kind, list(given)])


class Folder:
    """Replaces the directory of a voter."""

    def write(self, data: bytes) -> None:
        """Do nothing; the replaced worker never calls this."""


def encode(kept: DurableState) -> bytes:
    """Return a placeholder for the file's bytes."""
    return f"{kept.term}".encode()


def generated_effects(random_source: random.Random, number: int) -> list[object]:
    """Return up to five effects, with states to persist anywhere between them."""
    effects = []
    for offset in range(random_source.choice([0, 1, 1, 2, 3, 5])):
        kind = random_source.random()
        if kind < 0.3:
            effects.append(Persist(DurableState(term=number + offset)))
        elif kind < 0.8:
            effects.append(Send("b", "vote", [number, offset]))
        else:
            effects.append(Committed(number + offset, ("begin",), ClusterState(fencing_token=number)))
    return effects


def plain(effect: object) -> list[object]:
    """Return an effect by the position of its class and fields."""
    kind = EFFECTS.index(type(effect))
    if kind == 1:
        return [kind, *effect]
    index, fact, facts = effect
    return [kind, index, list(fact), list(facts)]


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run some thousand steps and record which effects are released, and when."""
    random_source = random.Random(seed)
    helper = Helper(record)
    now = 0.0
    keeping = VotePersistence(Folder(), helper, encode)
    memory = VotePersistence(None, helper, encode)
    for number in range(STEPS):
        now += random_source.uniform(0.0, 0.5)
        effects = generated_effects(random_source, 10 * number)
        kind = random_source.random()
        if kind < 0.5:
            record([plain(one) for one in keeping.submit(effects)])
        elif kind < 0.55:
            record([plain(one) for one in memory.submit(effects)])
        elif kind < 0.6:
            record([plain(one) for one in keeping.release()])
        elif keeping.writing:
            result = OSError(28, "no space") if random_source.random() < 0.2 else None
            record([plain(one) for one in keeping.write_finished(now, result)])
        wants = keeping.is_retry_due(now)
        record([wants, keeping.writing, len(keeping.waiting), helper.requested])
        if wants and random_source.random() < 0.7:
            keeping.write(DurableState(term=10 * number + 9))
