"""Drives the states of an entry: every pair of state and input once, then generated inputs to many keys."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.result_store.entry_states import ABSENT, ALL_STATES, LOOKUP_OUTCOMES, transition

STATES = ALL_STATES
INPUTS = range(8)
# Today's names -> the names with which the digests were recorded.
RECORDED_NAMES = {None: None, "reject": "refuse", "execute": "run", "coalesce": "join", "fail": "write_off"}
KEYS = 40
STEPS = 6000


def plain(found: tuple | None) -> list[object] | None:
    """Return a transition with its next state by position."""
    if found is None:
        return None
    state, effect = found
    return [STATES.index(state), RECORDED_NAMES.get(effect, effect and str(effect))]


def play(seed: int, record: Callable[[object], None]) -> None:
    """Record the transition of each pair, then those of generated inputs."""
    for state in STATES:
        record(RECORDED_NAMES.get(LOOKUP_OUTCOMES[state], str(LOOKUP_OUTCOMES[state])))
        for input_number in INPUTS:
            record(plain(transition(state, input_number)))
    random_source = random.Random(seed)
    keys = [ABSENT] * KEYS
    for _ in range(STEPS):
        key = random_source.randrange(KEYS)
        found = transition(keys[key], random_source.choice(INPUTS))
        record([key, plain(found)])
        if found is not None:
            keys[key] = found[0]
        record(RECORDED_NAMES.get(LOOKUP_OUTCOMES[keys[key]], str(LOOKUP_OUTCOMES[keys[key]])))
