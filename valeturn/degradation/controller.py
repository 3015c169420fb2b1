"""Decides which degradation level a server is in: a state machine that is stepped periodically, without I/O.

A level is entered once its enter condition has held for the duration that it requires: one rank at a time, or
directly the highest level whose condition holds if that is two ranks or more above the current one. A level
is left once its leave condition has held and its minimum stay is over, for the next lower level whose own
leave condition does not hold, or for none.

A level reduces the load that it was entered for, so its leave condition may hold only because of the level.
Therefore the last part of a stay is a probation: a growing ratio of the requests, those of the highest
priority first, is exempt from the level. If the enter condition holds during it, the level applies in full
again without having been left, and its stay doubles. The stay doubles as well when a level is entered again
soon after it was left, up to a limit that grows with the time for which the level has flapped. A doubled stay
is halved for each minute after the level was left.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from ..admission.interface import ServiceReduction
from .condition_tracker import ConditionTracker
from .conditions import Baselines, Condition, Readings

# Seconds after a level was left in which entering it again counts as flapping.
FLAP_WINDOW = 60.0
# The largest multiple of the minimum stay, reached when a level was entered again three times in a row.
MAX_STAY_FACTOR = 8.0
# A stay may also reach this part of the time for which the level has flapped, so that it is entered less
# often the longer the flapping lasts, at any load. With a half, the stay after an overload of some minutes is
# shorter than the overload.
FLAPPING_STAY_RATIO = 0.5
# Maximum halvings of a stay factor at once: bounds the exponent, as the time since a level was left is
# infinite before its first entry. Three halvings undo MAX_STAY_FACTOR.
MAX_HALVINGS = 9.0
# Steps of a probation. Each exempts a further fifth of the requests, less than the spare capacity that an
# overloaded dependency needs to recover.
PROBATION_STEPS = 4
# Seconds of a step: half of the signals' decay time. At twice that, levels outlasted their overload.
PROBATION_STEP = 0.5
# Number of changes within CHANGE_WINDOW at which levels are still entered but no longer left.
MAX_CHANGES = 6
# Seconds over which changes are counted.
CHANGE_WINDOW = 60.0
# Ranks above the current one from which a level is entered directly, without the levels between.
EMERGENCY_RANKS = 2


class State(Enum):
    """The states of the controller; the values are the texts that `status` shows."""

    NORMAL = "calm"  # no level is active
    ACTIVE = "in"  # a level is active because of its condition
    PROBATION = "on trial"  # a level is active, but exempts a growing ratio of the requests
    PINNED = "pinned"  # an operator has activated a level for some time


class Input(Enum):
    """The inputs of the state machine, from a step or an operator."""

    HIGHER_LEVEL_DUE = "the enter condition of a higher level has held"
    HIGHER_LEVEL_DUE_WHILE_WARMING_UP = "the same, on a server that is warming up"
    PROBATION_DUE = "the leave condition has held, and only the probation of the stay is left"
    RELAPSED = "on probation the enter condition holds, or the leave condition does not"
    RECOVERED_TO_LOWER_LEVEL = "the probation is over, and a lower level is still needed"
    RECOVERED = "the probation is over, and no level is needed"
    PIN = "an operator pins a level"
    UNPIN = "the time of the pinned level is over, or an operator ends it"
    LEVEL_REMOVED = "the active level is not in the new configuration"


class Effect(Enum):
    """The action of a transition besides the change of state."""

    ENTER = "enter a higher level"
    BEGIN_PROBATION = "begin the probation of the active level"
    END_PROBATION = "apply the active level in full again"
    LEAVE = "leave the active level for a lower one or none"
    PIN = "activate the pinned level"
    CLEAR = "activate no level"


class Transition(NamedTuple):
    """The next state and the effect of a transition."""

    state: State
    effect: Effect


# Pairs that are not listed change nothing: HIGHER_LEVEL_DUE_WHILE_WARMING_UP never enters a level, as busy
# cores are normal on a server that is warming up.
TRANSITIONS: Mapping[tuple[State, Input], Transition] = {
    (State.NORMAL, Input.HIGHER_LEVEL_DUE): Transition(State.ACTIVE, Effect.ENTER),
    (State.NORMAL, Input.PIN): Transition(State.PINNED, Effect.PIN),
    (State.ACTIVE, Input.HIGHER_LEVEL_DUE): Transition(State.ACTIVE, Effect.ENTER),
    (State.ACTIVE, Input.PROBATION_DUE): Transition(State.PROBATION, Effect.BEGIN_PROBATION),
    (State.ACTIVE, Input.PIN): Transition(State.PINNED, Effect.PIN),
    (State.ACTIVE, Input.LEVEL_REMOVED): Transition(State.NORMAL, Effect.CLEAR),
    (State.PROBATION, Input.HIGHER_LEVEL_DUE): Transition(State.ACTIVE, Effect.ENTER),
    (State.PROBATION, Input.RELAPSED): Transition(State.ACTIVE, Effect.END_PROBATION),
    (State.PROBATION, Input.RECOVERED_TO_LOWER_LEVEL): Transition(State.ACTIVE, Effect.LEAVE),
    (State.PROBATION, Input.RECOVERED): Transition(State.NORMAL, Effect.LEAVE),
    (State.PROBATION, Input.PIN): Transition(State.PINNED, Effect.PIN),
    (State.PROBATION, Input.LEVEL_REMOVED): Transition(State.NORMAL, Effect.CLEAR),
    (State.PINNED, Input.PIN): Transition(State.PINNED, Effect.PIN),
    (State.PINNED, Input.UNPIN): Transition(State.NORMAL, Effect.CLEAR),
    (State.PINNED, Input.LEVEL_REMOVED): Transition(State.NORMAL, Effect.CLEAR),
}


class DegradationLevel(NamedTuple):
    """A configured level.

    Attributes:
        name: Its name in the operator's file.
        rank: Its severity from 1, unique among the levels.
        enter: The condition under which it is entered.
        leave: The condition under which it is left.
        minimum_stay: Minimum seconds for which it is active, including its probation.
        restrictions: The restrictions that the admission controller applies while it is active.
    """

    name: str
    rank: int
    enter: Condition
    leave: Condition
    minimum_stay: float
    restrictions: ServiceReduction


class LevelChange(NamedTuple):
    """A change of the active level, for the log.

    Attributes:
        before: The name of the level that was active, or None.
        after: The name of the level that is active now, or None.
        reason: The condition or the operator's request that changed it.
    """

    before: str | None
    after: str | None
    reason: str


class DegradationController:
    """The state machine of the degradation levels.

    Args:
        levels: The configured levels, in any order.
        now: The current time in seconds, from any monotonic clock.

    Attributes:
        state: The current state.
        active_name: The name of the active level, or None.
        stay_factors: By level, the current multiple of its minimum stay.
    """

    def __init__(self, levels: Iterable[DegradationLevel], now: float) -> None:
        self.state = State.NORMAL
        self.active_name: str | None = None
        self._entered_at = now
        self._change_times: list[float] = []
        self._pinned_until = 0.0
        self._probation_since = now  # valid only in the state PROBATION
        self._effects = {
            Effect.ENTER: self._enter,
            Effect.BEGIN_PROBATION: self._begin_probation,
            Effect.END_PROBATION: self._end_probation,
            Effect.LEAVE: self._leave,
            Effect.PIN: self._activate_pinned,
            Effect.CLEAR: self._clear,
        }
        self.configure(levels)

    def configure(self, levels: Iterable[DegradationLevel]) -> None:
        """Replace the configuration; an active level that is still configured keeps its state.

        The timing of the conditions and the record of flapping are reset.
        """
        self._levels = sorted(levels, key=lambda level: level.rank)
        self._enter_trackers = {level.name: ConditionTracker(level.enter, False) for level in self._levels}
        self._leave_trackers = {level.name: ConditionTracker(level.leave, True) for level in self._levels}
        self.stay_factors = {level.name: 1.0 for level in self._levels}
        self._left_at: dict[str, float] = {}
        # By level, when it was first entered in the current period of flapping.
        self._flapping_since: dict[str, float] = {}

    def active_level(self) -> DegradationLevel | None:
        """Return the active level, or None where there is none or it is no longer configured."""
        return self._find(self.active_name)

    def step(
        self, now: float, readings: Readings, baselines: Baselines, warming_up: bool = False
    ) -> list[LevelChange]:
        """Update with new readings and return the changes of level in order; usually there are none."""
        enter_met = {
            name: tracker.update(now, readings, baselines) for name, tracker in self._enter_trackers.items()
        }
        leave_met = {
            name: tracker.update(now, readings, baselines) for name, tracker in self._leave_trackers.items()
        }
        self._change_times = [at for at in self._change_times if now - at < CHANGE_WINDOW]
        level = self.active_level()
        if self.active_name is not None and level is None:
            return self._apply(Input.LEVEL_REMOVED, now, None, "no longer configured")
        if self.state is State.PINNED:
            return self._step_pinned(now)
        higher = self._higher_level_due(level, enter_met)
        if higher is not None:
            event = Input.HIGHER_LEVEL_DUE_WHILE_WARMING_UP if warming_up else Input.HIGHER_LEVEL_DUE
            return self._apply(event, now, higher, str(higher.enter))
        if level is None:
            return []
        recovered = leave_met[level.name] and not enter_met[level.name]
        if self.state is State.PROBATION:
            relapsed = not recovered or self._enter_trackers[level.name].holds_now(readings, baselines)
            return self._step_probation(now, level, relapsed, leave_met)
        return self._step_active(now, level, recovered)

    def exempt_ratio(self, now: float) -> float:
        """Return the ratio of the requests that are exempt from the active level.

        It is 0 except on probation, where it grows in steps from a fifth to four fifths.
        """
        if self.state is not State.PROBATION:
            return 0.0
        steps = 1 + int(self._probation_elapsed(now) / PROBATION_STEP)
        return min(PROBATION_STEPS, steps) / (PROBATION_STEPS + 1)

    def pin(self, now: float, name: str, seconds: float) -> list[LevelChange] | None:
        """Activate a level for some seconds at any load; return the changes, or None for an unknown level."""
        level = self._find(name)
        if level is None:
            return None
        self._pinned_until = now + seconds
        return self._apply(Input.PIN, now, level, f"by hand for {seconds:g} s")

    def unpin(self, now: float) -> list[LevelChange] | None:
        """End a pinned level; return the changes, or None where none is pinned."""
        if self.state is not State.PINNED:
            return None
        return self._apply(Input.UNPIN, now, None, "freed by hand")

    def _find(self, name: str | None) -> DegradationLevel | None:
        return next((level for level in self._levels if level.name == name), None)

    def _higher_level_due(
        self, level: DegradationLevel | None, enter_met: Mapping[str, bool]
    ) -> DegradationLevel | None:
        """Return the higher level to enter now, or None."""
        rank = 0 if level is None else level.rank
        due = [other for other in self._levels if other.rank > rank and enter_met[other.name]]
        if not due:
            return None
        return due[-1] if due[-1].rank - rank >= EMERGENCY_RANKS else due[0]

    def _stay_before_probation(self, level: DegradationLevel) -> float:
        """Return the seconds from entering a level to its probation, which is the last part of the stay."""
        return level.minimum_stay * self.stay_factors[level.name] - PROBATION_STEPS * PROBATION_STEP

    def _step_pinned(self, now: float) -> list[LevelChange]:
        if now < self._pinned_until:
            return []
        return self._apply(Input.UNPIN, now, None, "held by hand to here")

    def _step_active(self, now: float, level: DegradationLevel, recovered: bool) -> list[LevelChange]:
        if recovered and now - self._entered_at >= self._stay_before_probation(level):
            return self._apply(Input.PROBATION_DUE, now, level, str(level.leave))
        return []

    def _step_probation(
        self, now: float, level: DegradationLevel, relapsed: bool, leave_met: Mapping[str, bool]
    ) -> list[LevelChange]:
        if relapsed:
            return self._apply(Input.RELAPSED, now, level, str(level.enter))
        if self._probation_elapsed(now) < PROBATION_STEPS * PROBATION_STEP:
            return []
        if len(self._change_times) >= MAX_CHANGES:
            return []
        lower = [other for other in self._levels if other.rank < level.rank and not leave_met[other.name]]
        if lower:
            return self._apply(Input.RECOVERED_TO_LOWER_LEVEL, now, lower[-1], str(level.leave))
        return self._apply(Input.RECOVERED, now, None, str(level.leave))

    def _probation_elapsed(self, now: float) -> float:
        return now - self._probation_since

    def _apply(
        self, event: Input, now: float, target: DegradationLevel | None, reason: str
    ) -> list[LevelChange]:
        """Carry out the transition for an input and return the change of the active level, if any."""
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return []
        before = self.active_name
        self.state = transition.state
        self._effects[transition.effect](now, target)
        if before == self.active_name:
            return []
        self._change_times.append(now)
        return [LevelChange(before, self.active_name, reason)]

    def _enter(self, now: float, target: DegradationLevel | None) -> None:
        assert target is not None
        name = target.name
        time_since_left = now - self._left_at.get(name, -math.inf)
        if time_since_left < FLAP_WINDOW:
            self._lengthen_stay(now, target)
        else:
            self._flapping_since[name] = now
            halvings = min(MAX_HALVINGS, time_since_left / FLAP_WINDOW)
            self.stay_factors[name] = max(1.0, self.stay_factors[name] * 0.5**halvings)
        self._activate(now, target)

    def _lengthen_stay(self, now: float, level: DegradationLevel) -> None:
        """Double the stay of a level, up to a limit that grows with the time for which it has flapped."""
        flapping_time = now - self._flapping_since.get(level.name, now)
        limit = max(MAX_STAY_FACTOR, FLAPPING_STAY_RATIO * flapping_time / level.minimum_stay)
        self.stay_factors[level.name] = min(limit, 2 * self.stay_factors[level.name])

    def _begin_probation(self, now: float, _target: DegradationLevel | None) -> None:
        self._probation_since = now

    def _end_probation(self, now: float, target: DegradationLevel | None) -> None:
        assert target is not None
        self._lengthen_stay(now, target)
        self._entered_at = now

    def _leave(self, now: float, target: DegradationLevel | None) -> None:
        assert self.active_name is not None
        self._left_at[self.active_name] = now
        self._activate(now, target)

    def _activate_pinned(self, now: float, target: DegradationLevel | None) -> None:
        self._activate(now, target)

    def _clear(self, now: float, _target: DegradationLevel | None) -> None:
        self._activate(now, None)

    def _activate(self, now: float, level: DegradationLevel | None) -> None:
        self.active_name = None if level is None else level.name
        self._entered_at = now
