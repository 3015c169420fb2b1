"""The state machine of the levels: special cases, and a comparison with rules over the whole history."""

import math
import random

import pytest
from degradation_support import NO_READINGS, active_names, condition, play, three_levels

from valeturn.degradation.controller import MAX_CHANGES, TRANSITIONS, DegradationController, Input, State


def test_levels_are_entered_one_rank_at_a_time_but_at_once_in_an_emergency():
    controller = DegradationController(three_levels(), 0.0)
    assert active_names(play(controller, lambda t: {"cores.busy": 0.85 if t < 2 else 0.99}, 5)) == [
        "slim",
        "thin",
    ]
    assert active_names(play(controller, lambda t: {"cores.busy": 0.5}, 10, 3.0)) == [None], (
        "the leave conditions of both hold"
    )
    controller = DegradationController(three_levels(), 0.0)
    assert active_names(play(controller, lambda t: {"memory": 0.99}, 1)) == ["bare"]
    assert active_names(play(controller, lambda t: {"memory": 0.1, "cores.busy": 0.75}, 9, 1.0)) == ["thin"]


def test_condition_must_hold_without_interruption():
    controller = DegradationController(three_levels(), 0.0)
    assert play(controller, lambda t: {"cores.busy": 0.85 if t % 0.9 < 0.7 else 0.3}, 30) == []


def test_noise_around_a_threshold_does_not_flap():
    for seed in range(10):
        random_source = random.Random(seed)
        controller = DegradationController(three_levels(), 0.0)
        changes = play(
            controller,
            lambda _, random_source=random_source: {"cores.busy": 0.8 + random_source.gauss(0, 0.05)},
            3600,
        )
        assert len(changes) <= 4, "over an hour at the threshold"


def test_square_wave_lengthens_stays_and_changes_are_limited():
    controller = DegradationController(three_levels(), 0.0)
    changes = play(controller, lambda t: {"cores.busy": 0.85 if t % 8 < 4 else 0.3}, 600)
    times = [now for now, _ in changes]
    assert all(sum(at <= now < at + 60 for now in times) <= MAX_CHANGES + 1 for at in times)
    assert len(changes) < 60, "75 waves, two changes each without the longer stay"


def test_slow_sine_changes_the_level_at_most_once_a_crossing():
    controller = DegradationController(three_levels(), 0.0)
    changes = play(controller, lambda t: {"cores.busy": 0.7 + 0.2 * math.sin(2 * math.pi * t / 120)}, 600)
    assert 10 <= len(changes) <= 2 * 10


def test_missing_signal_neither_enters_nor_keeps_a_level():
    controller = DegradationController(three_levels(), 0.0)
    assert play(controller, lambda t: {}, 60) == []
    play(controller, lambda t: {"cores.busy": 0.85}, 3, 60.0)
    assert controller.active_name == "slim"
    assert play(controller, lambda t: {}, 4, 63.0) == [], "its last result is kept for a while"
    assert active_names(play(controller, lambda t: {}, 10, 67.0)) == [None]


def test_server_enters_no_level_while_warming_up():
    controller = DegradationController(three_levels(), 0.0)
    assert play(controller, lambda t: {"cores.busy": 0.99}, 10, warming_up=True) == []
    assert active_names(play(controller, lambda t: {"cores.busy": 0.99}, 1, 10.0)) == ["thin"]


def test_pinned_level_expires_and_removed_level_is_left():
    controller = DegradationController(three_levels(), 0.0)
    assert controller.pin(0.0, "odd", 9.0) is None
    assert [c.after for c in controller.pin(0.0, "bare", 5.0)] == ["bare"]
    assert play(controller, lambda t: {"memory": 0.1}, 4) == []
    assert active_names(play(controller, lambda t: {"memory": 0.1}, 3, 4.0)) == [None]
    play(controller, lambda t: {"cores.busy": 0.85}, 3, 10.0)
    controller.configure(three_levels()[1:])
    assert active_names(play(controller, lambda t: {"cores.busy": 0.85}, 1, 13.0)) == [None]
    play(controller, lambda t: {"cores.busy": 0.99}, 3, 14.0)
    controller.configure(
        [level._replace(name="other") if level.name == "thin" else level for level in three_levels()]
    )
    assert active_names(play(controller, lambda t: {"cores.busy": 0.99}, 3, 17.0))[0] is None, (
        "renamed: left, then entered"
    )
    assert controller.active_name == "other"


@pytest.mark.parametrize("seed", range(20))
def test_controller_agrees_with_a_reading_of_the_whole_history(seed):
    """At each step the expected conditions are computed from the whole history of each signal."""
    random_source, controller, history = random.Random(seed), DegradationController(three_levels(), 0.0), []
    busy, at, entered, changes = 0.5, None, 0.0, []
    for step in range(3000):
        now = step / 10
        busy = min(1.0, max(0.0, busy + random_source.gauss(0, 0.04)))
        memory = random_source.choice((0.3, 0.3, 0.3, 0.97)) if random_source.random() < 0.02 else 0.3
        history.append((now, busy, memory))

        def held(test, now=now, history=history):
            since = now
            for time, value, _ in reversed(history):
                if not test(value):
                    break
                since = time
            return test(history[-1][1]) and now - since >= 1.0

        met = {"slim": held(lambda b: b > 0.8), "thin": held(lambda b: b > 0.9), "bare": memory > 0.95}
        out = controller.step(now, {**NO_READINGS, "cores.busy": busy, "memory": memory}, {})
        assert len(out) <= 1
        rank = {None: 0, "slim": 1, "thin": 2, "bare": 3}
        for change in out:
            assert change.before == at
            if rank[change.after] > rank[at]:
                assert met[change.after]
            else:
                assert now - entered >= 2.0 - 1e-9, "left before its minimum stay"
                assert sum(now - one < 60 for one in changes) < MAX_CHANGES
            at, entered = change.after, now
            changes.append(now)
        assert controller.active_name == at
        if not out:
            above = [name for name, holds in met.items() if holds and rank[name] > rank[at]]
            assert not above, f"{above} is met and not entered from {at}"


def test_level_is_not_left_while_the_overload_that_it_reduces_lasts():
    """The signal is proportional to the ratio of the requests that the level exempts.

    If the level were left for all requests at once, it would be entered again immediately.
    """
    controller, probations = DegradationController(three_levels(5.0), 0.0), 0

    def shape(t):
        load = 0.95 if t < 100 else 0.3
        return {"cores.busy": load * (1.0 if controller.active_name is None else controller.exempt_ratio(t))}

    changes = []
    for step in range(1500):
        now, before = step / 10, controller.state
        changes += controller.step(now, {**NO_READINGS, **shape(now)}, {})
        probations += before == State.ACTIVE and controller.state == State.PROBATION
        assert (controller.exempt_ratio(now) > 0) == (controller.state == State.PROBATION)
    assert [change.after for change in changes[-2:]] == ["slim", None] or len(changes) <= 4
    assert len(changes) <= 4, "entered, possibly left once or twice, but not every few seconds"
    assert probations >= 2
    assert controller.active_name is None


def test_doubled_stay_is_halved_for_each_quiet_minute():
    controller = DegradationController(three_levels(), 0.0)

    def overloaded(_):
        return {"cores.busy": 0.85}

    def normal(_):
        return {"cores.busy": 0.3}

    for start in (0.0, 20.0, 40.0):
        play(controller, overloaded, 3, start)
        play(controller, normal, 17, start + 3)
    assert controller.stay_factors["slim"] == 4.0
    play(controller, overloaded, 3, 140.0)
    assert 1.0 < controller.stay_factors["slim"] < 2.0, "the level was inactive for a minute and a half"


def test_returns_get_rarer_the_longer_a_level_flaps():
    """The signal is high whenever the level is inactive, and low whenever it is active.

    Each span of time must have no more entries than the one before.
    """
    controller, entries = DegradationController(three_levels(5.0), 0.0), []
    for step in range(60 * 600):
        now = step / 10
        busy = 0.85 if controller.active_name is None else 0.3
        entries += [now for one in controller.step(now, {**NO_READINGS, "cores.busy": busy}, {}) if one.after]
    spans = ((0, 5), (5, 10), (10, 20), (20, 40), (40, 60))
    entry_counts = [sum(60 * a <= at < 60 * b for at in entries) for a, b in spans]
    assert entry_counts[0] >= 6, entry_counts
    assert max(entry_counts[1:]) <= 6, entry_counts
    assert entry_counts[4] <= entry_counts[3], entry_counts


def test_transitions_start_from_known_states_and_omit_what_never_happens():
    assert {state for state, _ in TRANSITIONS} <= set(State)
    assert (State.NORMAL, Input.HIGHER_LEVEL_DUE_WHILE_WARMING_UP) not in TRANSITIONS
    assert (State.NORMAL, Input.RECOVERED_TO_LOWER_LEVEL) not in TRANSITIONS
    assert (State.PINNED, Input.HIGHER_LEVEL_DUE) not in TRANSITIONS


def test_configuration_replaced_during_probation_lets_the_probation_continue():
    """Guards against a reload that clears the start of the probation but not the state: the next step raised
    TypeError."""
    leave_at_once = condition("cores.busy < 60 %")
    levels = [level._replace(leave=leave_at_once) for level in three_levels(minimum_stay=2.0)]
    controller = DegradationController(levels, 0.0)
    play(controller, lambda t: {"cores.busy": 0.85}, 2)
    play(controller, lambda t: {"cores.busy": 0.1}, 1.5, 2.0)
    assert controller.state is State.PROBATION and controller.exempt_ratio(3.5) > 0
    controller.configure(levels)
    assert controller.exempt_ratio(3.5) > 0
    assert active_names(play(controller, lambda t: {"cores.busy": 0.1}, 4, 3.5)) == [None]
