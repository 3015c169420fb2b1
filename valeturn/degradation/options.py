"""The sections `[level NAME]` of the operator's file, and the checks against a deployment."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from ..admission.interface import ServiceReduction, Settings
from ..operator_config.grammar import Fault, LocatedValue
from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import Boolean, InvalidValueError, Quantity, WholeNumber
from .conditions import Comparison, Condition, ConditionType
from .controller import DegradationLevel
from .reachability import why_unreachable

# Signals that a server reads from a gauge -> the name of the gauge in a deployment.
GAUGES = {"cores.busy": "busy", "memory": "memory"}
CALL_SIGNAL_PREFIX = "calls."


class DeploymentNames(Protocol):
    """The names and settings of a deployment that levels depend on."""

    @property
    def settings(self) -> Settings:
        """The settings of the admission controller."""

    @property
    def workloads(self) -> Mapping[str, int]:
        """The indices of the workloads in the settings, by name."""

    @property
    def gauge_names(self) -> Sequence[str | None]:
        """The names of the gauges that the server reads."""


class Configuration(Protocol):
    """The part of a deployment's JSON configuration that levels depend on."""

    @property
    def names(self) -> DeploymentNames:
        """The names and settings of the deployment."""


class NameListType(NamedTuple):
    """The value type of a list of workloads: `quote, look-up`."""

    def read(self, text: str) -> tuple[str, ...]:
        """Parse a list of names.

        Raises:
            InvalidValueError: A name is empty or listed twice.
        """
        names = [name.strip() for name in text.split(",")]
        if not all(names) or len(set(names)) != len(names):
            raise InvalidValueError(
                "unreadable-value", f"wants names parted by commas, each once, has {text!r}"
            )
        return tuple(names)


class LevelOptions(NamedTuple):
    """One section `[level NAME]`.

    Attributes:
        rank: The severity of the level, from 1 to 9.
        enter: The condition under which the level is entered.
        leave: The condition under which it is left.
        minimum_stay: Minimum seconds for which it is active.
        bypass_workloads: The workloads that bypass their call on the shared dependency.
        call_wait_ratio: The ratio of the usual time that a request may wait for its call.
        enforce_quota: Whether requests of a tenant beyond its quota are rejected.
        minimum_priority: The priority, from 0 to 1, below which requests are rejected.
        rejected_workloads: The workloads that are rejected.
        places: Each key's position in the file, for faults; the section's position for a missing key.
    """

    rank: int
    enter: Condition
    leave: Condition
    minimum_stay: float
    bypass_workloads: tuple[str, ...]
    call_wait_ratio: float
    enforce_quota: bool
    minimum_priority: float
    rejected_workloads: tuple[str, ...]
    places: Mapping[str, LocatedValue]

    def restricts_nothing(self) -> bool:
        """Return whether the level has no effect."""
        restricts_workloads = bool(self.bypass_workloads or self.rejected_workloads)
        restricts_requests = self.enforce_quota or self.minimum_priority != 0.0 or self.call_wait_ratio != 1.0
        return not restricts_workloads and not restricts_requests

    def restrictions(self, workload_indices: Mapping[str, Any]) -> ServiceReduction:
        """Return the restrictions for the admission controller, with workloads by index."""
        return ServiceReduction(
            frozenset(workload_indices[name] for name in self.bypass_workloads),
            self.call_wait_ratio,
            self.enforce_quota,
            self.minimum_priority,
            frozenset(workload_indices[name] for name in self.rejected_workloads),
        )


def _build_options(
    values: Mapping[str, Any], places: Mapping[str, LocatedValue]
) -> tuple[LevelOptions, list[Fault]]:
    """Return the options of a section, and the faults of combinations of keys."""
    options = LevelOptions(
        rank=values["rank"],
        enter=values["enter"],
        leave=values["leave"],
        minimum_stay=values["stay"],
        bypass_workloads=values["without_call"],
        call_wait_ratio=values["call_wait"],
        enforce_quota=values["within_share"],
        minimum_priority=values["least_rank"],
        rejected_workloads=values["turn_back"],
        places=places,
    )
    faults: list[Fault] = []
    if options.restricts_nothing():
        faults.append(places["rank"].fault("gives-nothing", "the level gives nothing up"))
    for enter in options.enter.comparisons():
        for leave in options.leave.comparisons():
            faults.extend(_hysteresis_faults(enter, leave, places["leave"]))
    return options, faults


def _hysteresis_faults(enter: Comparison, leave: Comparison, place: LocatedValue) -> Iterator[Fault]:
    """Yield a fault where a level's enter and leave conditions on the same signal overlap."""
    if enter.signal != leave.signal or enter.relative != leave.relative:
        return
    if enter.above == leave.above:
        yield place.fault("leave-like-enter", f"leave looks at {leave.signal} in the same direction as enter")
        return
    overlaps = leave.value > enter.value if enter.above else leave.value < enter.value
    if overlaps:
        yield place.fault(
            "leave-overlaps-enter", f"{leave} holds while {enter} does: the level would come and go"
        )


SCHEMA = SectionSchema(
    "level",
    {
        "rank": Field(WholeNumber(1, 9), REQUIRED),
        "enter": Field(ConditionType(), REQUIRED),
        "leave": Field(ConditionType(), REQUIRED),
        "stay": Field(Quantity("a time", 0.5, 3600.0), 5.0),
        "without_call": Field(NameListType(), ()),
        "call_wait": Field(Quantity("a share", 0.1, 1.0), 1.0),
        "within_share": Field(Boolean(), False),
        "least_rank": Field(Quantity("a share", 0.0, 0.99), 0.0),
        "turn_back": Field(NameListType(), ()),
    },
    _build_options,
    labelled=True,
)


def check_deployment(levels: Mapping[str, LevelOptions], configuration: Configuration) -> list[Fault]:
    """Return the faults of the levels together and in a deployment, in the order of their lines."""
    names = configuration.names
    faults: list[Fault] = []
    name_by_rank: dict[int, str] = {}
    for name, level in sorted(levels.items(), key=lambda item: item[1].places["rank"].line):
        faults.extend(_rank_faults(level, name_by_rank))
        name_by_rank.setdefault(level.rank, name)
        faults.extend(_workload_faults(level, names))
        faults.extend(_tenant_faults(level, names.settings))
        faults.extend(_reachability_faults(level, names.settings))
        faults.extend(_signal_faults(level, names))
    faults.extend(_difference_faults(levels, names.workloads))
    return sorted(faults, key=lambda fault: (fault.line, fault.column))


def _rank_faults(level: LevelOptions, name_by_rank: Mapping[int, str]) -> Iterator[Fault]:
    if level.rank in name_by_rank:
        yield level.places["rank"].fault(
            "overlapping-rank", f"[level {name_by_rank[level.rank]}] has rank {level.rank} already"
        )


def _workload_faults(level: LevelOptions, names: DeploymentNames) -> Iterator[Fault]:
    """Yield the faults of workloads that are unknown or can't be restricted in this way."""
    known = names.workloads
    listed = {"without_call": level.bypass_workloads, "turn_back": level.rejected_workloads}
    for key, workload_names in listed.items():
        for name in workload_names:
            if name not in known:
                yield level.places[key].fault(
                    "unknown-workload", f"{name}; known: {', '.join(sorted(known))}"
                )
    for name in level.bypass_workloads:
        if name in known and not names.settings.workloads[known[name]].degraded_value_share > 0:
            yield level.places["without_call"].fault("not-without", f"{name} earns nothing without its call")
    if set(level.rejected_workloads) >= set(known):
        yield level.places["turn_back"].fault("all-turned-back", "no workload is let in at this level")


def _tenant_faults(level: LevelOptions, settings: Settings) -> Iterator[Fault]:
    if level.enforce_quota and not settings.tenants:
        yield level.places["within_share"].fault("no-tenants", "this deployment has no tenants")


def _reachability_faults(level: LevelOptions, settings: Settings) -> Iterator[Fault]:
    reason = why_unreachable(level.enter, settings)
    if reason is not None:
        yield level.places["enter"].fault("never-reached", f"{reason}: the level would never be entered")


def _signal_faults(level: LevelOptions, names: DeploymentNames) -> Iterator[Fault]:
    """Yield the faults of signals that the deployment does not measure."""
    has_calls = any(workload.makes_call for workload in names.settings.workloads)
    for key, condition in (("enter", level.enter), ("leave", level.leave)):
        for comparison in condition.comparisons():
            signal = comparison.signal
            if signal.startswith(CALL_SIGNAL_PREFIX) and not has_calls:
                yield level.places[key].fault("no-signal", f"{signal}: no workload here makes calls")
            if signal in GAUGES and GAUGES[signal] not in names.gauge_names:
                yield level.places[key].fault("no-signal", f"{signal}: this deployment has no such gauge")


def _difference_faults(
    levels: Mapping[str, LevelOptions], workload_indices: Mapping[str, int]
) -> Iterator[Fault]:
    """Yield a fault for each level with the condition and the restrictions of the next lower one."""
    for name, level in levels.items():
        for other in levels.values():
            if other.rank - level.rank != 1 or other.enter != level.enter:
                continue
            if _comparable_restrictions(other, workload_indices) == _comparable_restrictions(
                level, workload_indices
            ):
                yield other.places["rank"].fault(
                    "no-difference", f"gives up what [level {name}] does, on the same condition"
                )


def _comparable_restrictions(level: LevelOptions, workload_indices: Mapping[str, int]) -> ServiceReduction:
    """Return a level's restrictions for comparison; unknown workloads, reported elsewhere, stay as names."""
    by_name = {name: name for name in (*level.bypass_workloads, *level.rejected_workloads)}
    return level.restrictions({**by_name, **workload_indices})


def build_levels(levels: Mapping[str, LevelOptions], names: DeploymentNames) -> list[DegradationLevel]:
    """Return the levels for a deployment in which `check_deployment` found no fault."""
    return [
        DegradationLevel(
            name=name,
            rank=options.rank,
            enter=options.enter,
            leave=options.leave,
            minimum_stay=options.minimum_stay,
            restrictions=options.restrictions(names.workloads),
        )
        for name, options in levels.items()
    ]
