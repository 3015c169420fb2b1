"""The sections `[level NAME]` of the operator's file, and their check against a deployment."""

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

# Signals that a server measures by a gauge -> the name of the gauge in a deployment.
GAUGES = {"cores.busy": "busy", "memory": "memory"}
CALL_SIGNAL_PREFIX = "calls."


class DeploymentNames(Protocol):
    """What a level needs to know of a deployment."""

    @property
    def settings(self) -> Settings:
        """The settings of the admission controller."""

    @property
    def workloads(self) -> Mapping[str, int]:
        """The indices of the request classes in the settings, by name."""

    @property
    def gauge_names(self) -> Sequence[str | None]:
        """The names of the gauges that the server reads."""


class Configuration(Protocol):
    """The JSON configuration of a deployment, as far as levels depend on it."""

    @property
    def names(self) -> DeploymentNames:
        """The names and settings of the deployment."""


class NameListType(NamedTuple):
    """The value type of a list of request classes: `quote, look-up`."""

    def read(self, text: str) -> tuple[str, ...]:
        """Parse a list of names.

        Raises:
            InvalidValueError: A name is empty or stands twice.
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
        enter: The condition that enters the level.
        leave: The condition that lets it be left.
        minimum_stay: Seconds for which it is active at least.
        bypass_classes: The request classes that bypass their call on the shared dependency.
        call_wait_ratio: The ratio of the usual time that a request may wait for its call.
        enforce_quota: Whether requests of a tenant beyond its quota are rejected.
        minimum_priority: The priority, from 0 to 1, below which requests are rejected.
        rejected_classes: The request classes that are rejected.
        places: Where each key is written in the file, for faults; the section's place for one that is not.
    """

    rank: int
    enter: Condition
    leave: Condition
    minimum_stay: float
    bypass_classes: tuple[str, ...]
    call_wait_ratio: float
    enforce_quota: bool
    minimum_priority: float
    rejected_classes: tuple[str, ...]
    places: Mapping[str, LocatedValue]

    def restricts_nothing(self) -> bool:
        """Return whether the level is without any effect."""
        restricts_classes = bool(self.bypass_classes or self.rejected_classes)
        restricts_requests = self.enforce_quota or self.minimum_priority != 0.0 or self.call_wait_ratio != 1.0
        return not restricts_classes and not restricts_requests

    def restrictions(self, class_indices: Mapping[str, Any]) -> ServiceReduction:
        """Return what the admission controller restricts, with request classes by index."""
        return ServiceReduction(
            frozenset(class_indices[name] for name in self.bypass_classes),
            self.call_wait_ratio,
            self.enforce_quota,
            self.minimum_priority,
            frozenset(class_indices[name] for name in self.rejected_classes),
        )


def _build_options(
    values: Mapping[str, Any], places: Mapping[str, LocatedValue]
) -> tuple[LevelOptions, list[Fault]]:
    """Return the options of a section, and its faults that concern several keys."""
    options = LevelOptions(
        rank=values["rank"],
        enter=values["enter"],
        leave=values["leave"],
        minimum_stay=values["stay"],
        bypass_classes=values["without_call"],
        call_wait_ratio=values["call_wait"],
        enforce_quota=values["within_share"],
        minimum_priority=values["least_rank"],
        rejected_classes=values["turn_back"],
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
    """Yield a fault where a level would be left on the same signal that enters it."""
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
    """Return the faults of the levels beside each other and in a deployment, in the order of their lines."""
    names = configuration.names
    faults: list[Fault] = []
    name_by_rank: dict[int, str] = {}
    for name, level in sorted(levels.items(), key=lambda item: item[1].places["rank"].line):
        faults.extend(_rank_faults(level, name_by_rank))
        name_by_rank.setdefault(level.rank, name)
        faults.extend(_request_class_faults(level, names))
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


def _request_class_faults(level: LevelOptions, names: DeploymentNames) -> Iterator[Fault]:
    """Yield the faults of request classes that are unknown or can't be treated as the level says."""
    known = names.workloads
    listed = {"without_call": level.bypass_classes, "turn_back": level.rejected_classes}
    for key, request_classes in listed.items():
        for name in request_classes:
            if name not in known:
                yield level.places[key].fault(
                    "unknown-workload", f"{name}; known: {', '.join(sorted(known))}"
                )
    for name in level.bypass_classes:
        if name in known and not names.settings.workloads[known[name]].degraded_value_share > 0:
            yield level.places["without_call"].fault("not-without", f"{name} earns nothing without its call")
    if set(level.rejected_classes) >= set(known):
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
    has_calls = any(request_class.makes_call for request_class in names.settings.workloads)
    for key, condition in (("enter", level.enter), ("leave", level.leave)):
        for comparison in condition.comparisons():
            signal = comparison.signal
            if signal.startswith(CALL_SIGNAL_PREFIX) and not has_calls:
                yield level.places[key].fault("no-signal", f"{signal}: no workload here makes calls")
            if signal in GAUGES and GAUGES[signal] not in names.gauge_names:
                yield level.places[key].fault("no-signal", f"{signal}: this deployment has no such gauge")


def _difference_faults(
    levels: Mapping[str, LevelOptions], class_indices: Mapping[str, int]
) -> Iterator[Fault]:
    """Yield a fault for each level that does what the next lower one does, on the same condition."""
    for name, level in levels.items():
        for other in levels.values():
            if other.rank - level.rank != 1 or other.enter != level.enter:
                continue
            if _comparable_restrictions(other, class_indices) == _comparable_restrictions(
                level, class_indices
            ):
                yield other.places["rank"].fault(
                    "no-difference", f"gives up what [level {name}] does, on the same condition"
                )


def _comparable_restrictions(level: LevelOptions, class_indices: Mapping[str, int]) -> ServiceReduction:
    """Return the restrictions of a level with unknown request classes, a fault of their own, by name."""
    by_name = {name: name for name in (*level.bypass_classes, *level.rejected_classes)}
    return level.restrictions({**by_name, **class_indices})


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
