"""Draw the schedule of a soak run before it starts, so that a seed always gives the same schedule."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple, TypeVar

from ..transport.seeded_random import SeededRandom
from .random_streams import warmed_up

LONGEST_SERVICE_S: Final = 0.6  # that an incarnation serves before its ending begins
IDLE_CONNECTIONS_SHARE: Final = 0.25  # of the incarnations: many idle connections, near the limit
IDLE_CONNECTIONS: Final = 60  # the server has 72 descriptors
LONGEST_KILL_DELAY_S: Final = 0.25  # from the last signal to a kill: a reload takes about 0.2 s
LONGEST_SIGNAL_PAUSE_S: Final = 0.05  # between two signals of a series

DrawnT = TypeVar("DrawnT")


class OperatorFile(Enum):
    """The components that a seed's operator's file switches on."""

    NONE = "none"
    CONTROL = "control"
    STORE = "store"
    CLUSTER = "cluster"


class Signal(Enum):
    """The signals that a server is sent, by purpose; the values are the signals' names."""

    RELOAD = "SIGHUP"
    COUNTERS = "SIGUSR1"
    TERMINATE = "SIGTERM"


class Ending(Enum):
    """How an incarnation ends, after its series of signals."""

    KILL = "kill"
    KILL_DURING_RELOAD = "kill during a reload"
    KILL_DURING_HELD_RELOAD = "kill while the operator's file can't be read to its end"
    SIGTERM = "notice"
    SIGTERM_DURING_START = "notice during the start"
    SIGTERM_AND_KILL = "notice, and a kill at the stop"


class ScheduledSignal(NamedTuple):
    """One signal of a series."""

    signal: Signal
    pause_s: float  # after it


class ScheduledIncarnation(NamedTuple):
    """One incarnation of the server: a process from its start to its end."""

    idle_connections: int  # number of connections that stay idle
    service_s: float  # seconds from the first answer to the series of signals
    signals: tuple[ScheduledSignal, ...]
    ending: Ending
    kill_delay_s: float  # seconds from the last signal to a kill

    def describe(self) -> str:
        """Return the incarnation as one line of the report."""
        signal_series = ",".join(one.signal.value for one in self.signals) or "-"
        return (
            f"serves={self.service_s:.2f}s crowd={self.idle_connections} signals={signal_series} "
            f"ending={self.ending.value!r}"
        )


class SoakSchedule(NamedTuple):
    """Everything that a seed decides."""

    seed: int
    operator_file: OperatorFile
    incarnations: tuple[ScheduledIncarnation, ...]


SIGNAL_SERIES: Final[tuple[tuple[Signal, ...], ...]] = (
    (),
    (Signal.RELOAD,),
    (Signal.RELOAD, Signal.RELOAD),
    (Signal.RELOAD, Signal.RELOAD, Signal.RELOAD),
    (Signal.COUNTERS, Signal.RELOAD),
    (Signal.COUNTERS,),
)
SIGNAL_SERIES_WITH_SIGTERM: Final[tuple[tuple[Signal, ...], ...]] = (
    (Signal.TERMINATE,),
    (Signal.TERMINATE, Signal.TERMINATE),
    (Signal.COUNTERS, Signal.TERMINATE),
    (Signal.TERMINATE, Signal.COUNTERS),
    (Signal.RELOAD, Signal.TERMINATE),
    (Signal.TERMINATE, Signal.RELOAD),
    (Signal.RELOAD, Signal.TERMINATE, Signal.RELOAD, Signal.TERMINATE),
)
ENDINGS_BY_SIGTERM: Final = (Ending.SIGTERM, Ending.SIGTERM_DURING_START, Ending.SIGTERM_AND_KILL)


def draw_schedule(seed: int, incarnations: int) -> SoakSchedule:
    """Return the schedule of a seed."""
    random_source = warmed_up(seed)
    operator_file = _choose(random_source, list(OperatorFile))
    return SoakSchedule(
        seed,
        operator_file,
        tuple(_draw_incarnation(random_source, operator_file) for _ in range(incarnations)),
    )


def _choose(random_source: SeededRandom, choices: Sequence[DrawnT]) -> DrawnT:
    return choices[int(random_source.random() * len(choices))]


def _draw_incarnation(random_source: SeededRandom, operator_file: OperatorFile) -> ScheduledIncarnation:
    """Draw one incarnation.

    Every field is drawn, so that the number of draws does not depend on the ending.
    """
    ending = _choose(random_source, list(Ending))
    if operator_file is OperatorFile.NONE and ending is Ending.KILL_DURING_HELD_RELOAD:
        ending = Ending.KILL_DURING_RELOAD
    signal_series = _choose(
        random_source, SIGNAL_SERIES_WITH_SIGTERM if ending in ENDINGS_BY_SIGTERM else SIGNAL_SERIES
    )
    signals = tuple(
        ScheduledSignal(one, LONGEST_SIGNAL_PAUSE_S * random_source.random()) for one in signal_series
    )
    return ScheduledIncarnation(
        idle_connections=IDLE_CONNECTIONS if random_source.random() < IDLE_CONNECTIONS_SHARE else 0,
        service_s=LONGEST_SERVICE_S * random_source.random(),
        signals=signals,
        ending=ending,
        kill_delay_s=LONGEST_KILL_DELAY_S * random_source.random(),
    )
