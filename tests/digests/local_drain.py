"""Drives one server's drain: the leader's instructions in time and late, termination signals, silence."""

from __future__ import annotations

import random
from collections.abc import Callable

from valeturn.maintenance.local_drain import LocalDrain, LocalDrainState

STATES = tuple(LocalDrainState)
ENDS = (LocalDrainState.IN_MAINTENANCE, LocalDrainState.RESTARTING, LocalDrainState.SHUTTING_DOWN)
VERBS = ("out", "out", "work", "back", "stay", "returned")
STEPS = 6000
RESPONSE_VALIDITY_S = 3.0
LEADER_TIMEOUT_S = 8.0


def state_values(drain: LocalDrain) -> list[object]:
    """Return the public state of the drain."""
    return [
        STATES.index(drain.state),
        drain.fencing_token,
        drain.rejected_count,
        drain.highest_token,
        drain.state_since,
        drain.leader_contact_at,
    ]


def deliver_instruction(
    random_source: random.Random, drain: LocalDrain, now: float, stamps: list[float], current_token: int
) -> object:
    """Deliver an instruction, mostly a valid one, and return its effect."""
    verb = random_source.choice(VERBS)
    stamp = random_source.choice(stamps[-3:])
    if random_source.random() < 0.15:
        stamp = random_source.choice(stamps)
    token = current_token
    if drain.state != LocalDrainState.SERVING and random_source.random() < 0.7:
        token = drain.fencing_token
    if random_source.random() < 0.1:
        token = max(0, current_token - 1)
    return drain.receive_instruction(now, stamp, verb, token)


def play(seed: int, record: Callable[[object], None]) -> None:
    """Play some thousand steps and record each effect."""
    random_source = random.Random(seed)
    now = 0.0
    current_token = 1
    drain = LocalDrain(now, RESPONSE_VALIDITY_S, LEADER_TIMEOUT_S)
    stamps = [now]
    for _ in range(STEPS):
        now += random_source.choice([0.05, 0.2, 0.5, 1.0, 1.0, RESPONSE_VALIDITY_S])
        kind = random_source.random()
        if kind < 0.30:
            stamps.append(drain.record_report(now))
            stamps = stamps[-12:]
            record(stamps[-1])
        elif kind < 0.60:
            record(deliver_instruction(random_source, drain, now, stamps, current_token))
        elif kind < 0.70:
            record(drain.complete_drain(now))
        elif kind < 0.72:
            record(drain.receive_termination_signal(now))
        elif kind < 0.80:
            record(drain.record_leader_contact(now))
        elif kind < 0.85:
            current_token += 1
        else:
            record(drain.tick(now))
        record(state_values(drain))
        if drain.state in ENDS and random_source.random() < 0.3:
            drain = LocalDrain(now, RESPONSE_VALIDITY_S, LEADER_TIMEOUT_S)
