"""Drives one server's drain: the leader's instructions in time and late, termination signals, silence."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.maintenance.local_drain import LocalDrain, LocalDrainState

STATES = tuple(LocalDrainState)
ENDS = (LocalDrainState.IN_MAINTENANCE, LocalDrainState.RESTARTING, LocalDrainState.SHUTTING_DOWN)
VERBS = ("out", "out", "work", "back", "stay", "returned")
STEPS = 6000
LASTS = 3.0
PATIENCE = 8.0


def figures(place: LocalDrain) -> list[object]:
    """Return the public state of the drain."""
    return [
        STATES.index(place.state),
        place.fencing_token,
        place.rejected_count,
        place.highest_token,
        place.state_since,
        place.leader_contact_at,
    ]


def told(chance: random.Random, place: LocalDrain, now: float, stamps: list[float], fence: int) -> object:
    """Tell the place a word, mostly a good one, and return what came of it."""
    verb = chance.choice(VERBS)
    stamp = chance.choice(stamps[-3:])
    if chance.random() < 0.15:
        stamp = chance.choice(stamps)
    said = fence
    if place.state != LocalDrainState.SERVING and chance.random() < 0.7:
        said = place.fencing_token
    if chance.random() < 0.1:
        said = max(0, fence - 1)
    return place.receive_instruction(now, stamp, verb, said)


def play(seed: int, record: Callable[[object], None]) -> None:
    """Play some thousand steps and record each effect."""
    chance = random.Random(seed)
    now = 0.0
    fence = 1
    place = LocalDrain(now, LASTS, PATIENCE)
    stamps = [now]
    for _ in range(STEPS):
        now += chance.choice([0.05, 0.2, 0.5, 1.0, 1.0, LASTS])
        kind = chance.random()
        if kind < 0.30:
            stamps.append(place.record_report(now))
            stamps = stamps[-12:]
            record(stamps[-1])
        elif kind < 0.60:
            record(told(chance, place, now, stamps, fence))
        elif kind < 0.70:
            record(place.complete_drain(now))
        elif kind < 0.72:
            record(place.receive_termination_signal(now))
        elif kind < 0.80:
            record(place.record_leader_contact(now))
        elif kind < 0.85:
            fence += 1
        else:
            record(place.tick(now))
        record(figures(place))
        if place.state in ENDS and chance.random() < 0.3:
            place = LocalDrain(now, LASTS, PATIENCE)
