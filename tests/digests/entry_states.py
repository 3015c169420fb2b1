"""Feeds the states of a kept key: every pair of state and input once, then generated inputs to many keys."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.result_store.entry_states import (
    ABSENT,
    DONE,
    ENDED,
    EXPIRED,
    FAILED,
    KEPT,
    MAYBE,
    MEETS,
    NOTE,
    NOTED,
    RESTART,
    SENT,
    SYNCED,
    UNBEGUN,
    UNSYNCED,
    move,
)

STATES = (ABSENT, NOTED, SENT, KEPT, FAILED, MAYBE)
INPUTS = (NOTE, SYNCED, UNSYNCED, DONE, ENDED, UNBEGUN, RESTART, EXPIRED)
KEYS = 40
STEPS = 6000


def plain(found: tuple | None) -> list[object] | None:
    """Return a move with its next state by position."""
    if found is None:
        return None
    state, effect = found
    return [STATES.index(state), effect]


def play(seed: int, record: Callable[[object], None]) -> None:
    """Record the move of each pair, then of generated inputs."""
    for state in STATES:
        record(MEETS[state])
        for given in INPUTS:
            record(plain(move(state, given)))
    chance = random.Random(seed)
    keys = [ABSENT] * KEYS
    for _ in range(STEPS):
        key = chance.randrange(KEYS)
        found = move(keys[key], chance.choice(INPUTS))
        record([key, plain(found)])
        if found is not None:
            keys[key] = found[0]
        record(MEETS[keys[key]])
