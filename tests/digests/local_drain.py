"""Feeds one server's part in its turn: words of the owner in and out of time, notices, drains, silence."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.maintenance.local_drain import AT_WORK, DRAINS, EMPTY, GOES_BACK, LEAVES, SERVES, Place

STATES = (SERVES, DRAINS, EMPTY, AT_WORK, GOES_BACK, LEAVES)
ENDS = (AT_WORK, GOES_BACK, LEAVES)
VERBS = ("out", "out", "work", "back", "stay", "returned")
STEPS = 6000
LASTS = 3.0
PATIENCE = 8.0


def figures(place: Place) -> list[object]:
    """Return what the place shows of its state."""
    return [STATES.index(place.state), place.fence, place.refused, place.seen, place.since, place.heard_at]


def told(chance: random.Random, place: Place, now: float, stamps: list[float], fence: int) -> object:
    """Tell the place a word, mostly a good one, and return what came of it."""
    verb = chance.choice(VERBS)
    stamp = chance.choice(stamps[-3:])
    if chance.random() < 0.15:
        stamp = chance.choice(stamps)
    said = fence
    if place.state != SERVES and chance.random() < 0.7:
        said = place.fence
    if chance.random() < 0.1:
        said = max(0, fence - 1)
    return place.told(now, stamp, verb, said)


def play(seed: int, record: Callable[[object], None]) -> None:
    """Play some thousand steps and record each effect."""
    chance = random.Random(seed)
    now = 0.0
    fence = 1
    place = Place(now, LASTS, PATIENCE)
    stamps = [now]
    for _ in range(STEPS):
        now += chance.choice([0.05, 0.2, 0.5, 1.0, 1.0, LASTS])
        kind = chance.random()
        if kind < 0.30:
            stamps.append(place.asked(now))
            stamps = stamps[-12:]
            record(stamps[-1])
        elif kind < 0.60:
            record(told(chance, place, now, stamps, fence))
        elif kind < 0.70:
            record(place.drained(now))
        elif kind < 0.72:
            record(place.notice(now))
        elif kind < 0.80:
            record(place.heard(now))
        elif kind < 0.85:
            fence += 1
        else:
            record(place.tick(now))
        record(figures(place))
        if place.state in ENDS and chance.random() < 0.3:
            place = Place(now, LASTS, PATIENCE)
