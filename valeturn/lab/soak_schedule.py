"""Draw the schedule of a soak ahead of its play, so that a seed is a schedule and can be played again."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple, TypeVar

from ..transport.seeded_random import SeededRandom
from .random_streams import warmed_up

LONGEST_SERVICE: Final = 0.6  # s that a life serves before its ending begins
CROWD_SHARE: Final = 0.25  # of the lives: a crowd of connections, near the limit of descriptors
CROWD: Final = 60  # connections of a crowd; the server has 72 descriptors
LONGEST_KILL_DELAY: Final = 0.25  # s from the last signal to a kill: a reload takes some 0.2 s
LONGEST_SIGNAL_PAUSE: Final = 0.05  # s between two signals of a series

DrawnT = TypeVar("DrawnT")


class OperatorFile(Enum):
    """What a seed's operator's file switches on."""

    NONE = "none"
    CONTROL = "control"
    STORE = "store"
    CLUSTER = "cluster"


class Signal(Enum):
    """The signals that a server is sent; the values are their names."""

    RELOAD = "SIGHUP"
    COUNTERS = "SIGUSR1"
    NOTICE = "SIGTERM"


class Ending(Enum):
    """How a life ends, after its series of signals."""

    KILL = "kill"
    KILL_DURING_RELOAD = "kill during a reload"
    KILL_DURING_HELD_RELOAD = "kill while the operator's file can't be read to its end"
    NOTICE = "notice"
    NOTICE_DURING_START = "notice during the start"
    NOTICE_AND_KILL = "notice, and a kill at the stop"


class ScheduledSignal(NamedTuple):
    """One signal of a series."""

    signal: Signal
    pause: float  # s after it


class ScheduledLife(NamedTuple):
    """One life of the server's process."""

    crowd: int  # connections that rest
    service: float  # s from the first answer to the series of signals
    signals: tuple[ScheduledSignal, ...]
    ending: Ending
    kill_delay: float  # s from the last signal to a kill

    def describe(self) -> str:
        """Return the life in a line."""
        series = ",".join(one.signal.value for one in self.signals) or "-"
        return f"serves={self.service:.2f}s crowd={self.crowd} signals={series} ending={self.ending.value!r}"


class SoakSchedule(NamedTuple):
    """All that a seed decides."""

    seed: int
    operator_file: OperatorFile
    lives: tuple[ScheduledLife, ...]


SERIES: Final[tuple[tuple[Signal, ...], ...]] = (
    (),
    (Signal.RELOAD,),
    (Signal.RELOAD, Signal.RELOAD),
    (Signal.RELOAD, Signal.RELOAD, Signal.RELOAD),
    (Signal.COUNTERS, Signal.RELOAD),
    (Signal.COUNTERS,),
)
SERIES_WITH_NOTICE: Final[tuple[tuple[Signal, ...], ...]] = (
    (Signal.NOTICE,),
    (Signal.NOTICE, Signal.NOTICE),
    (Signal.COUNTERS, Signal.NOTICE),
    (Signal.NOTICE, Signal.COUNTERS),
    (Signal.RELOAD, Signal.NOTICE),
    (Signal.NOTICE, Signal.RELOAD),
    (Signal.RELOAD, Signal.NOTICE, Signal.RELOAD, Signal.NOTICE),
)
ENDINGS_BY_NOTICE: Final = (Ending.NOTICE, Ending.NOTICE_DURING_START, Ending.NOTICE_AND_KILL)


def draw_schedule(seed: int, lives: int) -> SoakSchedule:
    """Return the schedule of a seed."""
    random_source = warmed_up(seed)
    operator_file = _one_of(random_source, list(OperatorFile))
    return SoakSchedule(
        seed, operator_file, tuple(_draw_life(random_source, operator_file) for _ in range(lives))
    )


def _one_of(random_source: SeededRandom, choices: Sequence[DrawnT]) -> DrawnT:
    return choices[int(random_source.random() * len(choices))]


def _draw_life(random_source: SeededRandom, operator_file: OperatorFile) -> ScheduledLife:
    """Draw every field, whatever the ending."""
    ending = _one_of(random_source, list(Ending))
    if operator_file is OperatorFile.NONE and ending is Ending.KILL_DURING_HELD_RELOAD:
        ending = Ending.KILL_DURING_RELOAD
    series = _one_of(random_source, SERIES_WITH_NOTICE if ending in ENDINGS_BY_NOTICE else SERIES)
    signals = tuple(ScheduledSignal(one, LONGEST_SIGNAL_PAUSE * random_source.random()) for one in series)
    return ScheduledLife(
        crowd=CROWD if random_source.random() < CROWD_SHARE else 0,
        service=LONGEST_SERVICE * random_source.random(),
        signals=signals,
        ending=ending,
        kill_delay=LONGEST_KILL_DELAY * random_source.random(),
    )
