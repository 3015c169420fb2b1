"""The sections [level NAME] of the operator's file, and what is wrong with them beside a deployment."""

from __future__ import annotations

from typing import NamedTuple

from ..admission.interface import Reduced
from ..operator_config.schema import REQUIRED, Field, Shape
from ..operator_config.value_types import Quantity, Switch, Wants, Whole
from .conditions import ConditionType
from .controller import DegradationLevel
from .reachability import why_unreachable


class Names(NamedTuple):
    """The kind of a list of workloads: `quote, look-up`."""

    def read(self, text):
        names = [name.strip() for name in text.split(",")]
        if not all(names) or len(set(names)) != len(names):
            raise Wants("unreadable-value", f"wants names parted by commas, each once, has {text!r}")
        return tuple(names)


class LevelOptions(NamedTuple):
    rank: int
    enter: object
    leave: object
    stay: float
    without_call: tuple
    call_wait: float
    within_share: bool
    least_rank: float
    turn_back: tuple
    where: dict = {}

    def gives(self, workloads):
        """What the module is told, with workloads by index."""
        return Reduced(
            frozenset(workloads[name] for name in self.without_call),
            self.call_wait,
            self.within_share,
            self.least_rank,
            frozenset(workloads[name] for name in self.turn_back),
        )


def build(values, where):
    options = LevelOptions(**values, where=where)
    faults = []
    if (
        options.without_call,
        options.call_wait,
        options.within_share,
        options.least_rank,
        options.turn_back,
    ) == ((), 1.0, False, 0.0, ()):
        faults.append(where["rank"].fault("gives-nothing", "the level gives nothing up"))
    for enter in options.enter.comparisons():
        for leave in options.leave.comparisons():
            if enter.signal != leave.signal or enter.relative != leave.relative:
                continue
            if enter.above == leave.above:
                faults.append(
                    where["leave"].fault(
                        "leave-like-enter", f"leave looks at {leave.signal} in the same direction as enter"
                    )
                )
            elif (leave.value > enter.value) if enter.above else (leave.value < enter.value):
                faults.append(
                    where["leave"].fault(
                        "leave-overlaps-enter",
                        f"{leave} holds while {enter} does: the level would come and go",
                    )
                )
    return options, faults


SHAPE = Shape(
    "level",
    {
        "rank": Field(Whole(1, 9), REQUIRED),
        "enter": Field(ConditionType(), REQUIRED),
        "leave": Field(ConditionType(), REQUIRED),
        "stay": Field(Quantity("a time", 0.5, 3600.0), 5.0),
        "without_call": Field(Names(), ()),
        "call_wait": Field(Quantity("a share", 0.1, 1.0), 1.0),
        "within_share": Field(Switch(), False),
        "least_rank": Field(Quantity("a share", 0.0, 0.99), 0.0),
        "turn_back": Field(Names(), ()),
    },
    build,
    labelled=True,
)


def fit(levels, c):
    """The faults of all levels beside each other and a deployment (its configuration, of which names)."""
    faults, ranks, names = [], {}, c.names
    settings, known = names.settings, names.workloads
    calls = any(w.calls for w in settings.workloads)
    for name, level in sorted(levels.items(), key=lambda item: item[1].where["rank"].line):
        where = level.where
        if level.rank in ranks:
            faults.append(
                where["rank"].fault(
                    "overlapping-rank", f"[level {ranks[level.rank]}] has rank {level.rank} already"
                )
            )
        ranks.setdefault(level.rank, name)
        for key in ("without_call", "turn_back"):
            for workload in getattr(level, key):
                if workload not in known:
                    faults.append(
                        where[key].fault("unknown-workload", f"{workload}; known: {', '.join(sorted(known))}")
                    )
        for workload in level.without_call:
            if workload in known and not settings.workloads[known[workload]].poorer_share > 0:
                faults.append(
                    where["without_call"].fault("not-without", f"{workload} earns nothing without its call")
                )
        if set(level.turn_back) >= set(known):
            faults.append(where["turn_back"].fault("all-turned-back", "no workload is let in at this level"))
        if level.within_share and not settings.tenants:
            faults.append(where["within_share"].fault("no-tenants", "this deployment has no tenants"))
        why = why_unreachable(level.enter, settings)
        if why is not None:
            faults.append(where["enter"].fault("never-reached", f"{why}: the level would never be entered"))
        for key in ("enter", "leave"):
            for one in getattr(level, key).comparisons():
                if one.signal.startswith("calls.") and not calls:
                    faults.append(
                        where[key].fault("no-signal", f"{one.signal}: no workload here makes calls")
                    )
                for signal, gauge in (("cores.busy", "busy"), ("memory", "memory")):
                    if one.signal == signal and gauge not in names.gauge_names:
                        faults.append(
                            where[key].fault("no-signal", f"{signal}: this deployment has no such gauge")
                        )
    for name, level in levels.items():  # one that a lower rank's gate keeps shut
        for other in levels.values():
            if (
                other.rank > level.rank
                and other.enter == level.enter
                and other.rank - level.rank == 1
                and (other.gives(_any(known, other)) == level.gives(_any(known, level)))
            ):
                faults.append(
                    other.where["rank"].fault(
                        "no-difference", f"gives up what [level {name}] does, on the same condition"
                    )
                )
    return sorted(faults, key=lambda fault: (fault.line, fault.column))


def _any(known, level):
    return {**{name: name for name in (*level.without_call, *level.turn_back)}, **known}


def make(levels, names):
    """decision.Level values for a deployment that they fit."""
    return [
        DegradationLevel(name, one.rank, one.enter, one.leave, one.stay, one.gives(names.workloads))
        for name, one in levels.items()
    ]
