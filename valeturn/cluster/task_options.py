"""The sections [duty NAME] of the operator's file: the singleton tasks of the cluster."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, Protocol

from ..operator_config.grammar import Fault, LocatedValue
from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import Choice, Quantity, Text, WholeNumber
from . import limits

# Fraction of the lease, before its end, at which a command that ignored TERM is killed: the same as in
# process_guard.py, which imports nothing from here.
KILL_MARGIN = 0.15
# Longest grace period, as a fraction of the lease: with KILL_MARGIN it is under half of the lease, which a
# healthy leader always has left.
LONGEST_GRACE_PERIOD = 0.3
# Maximum seconds that a command may run where the file has no limit and the interval is longer.
DEFAULT_TIME_LIMIT_S = 60.0
DAY_S = 86400.0

# Kinds of tasks, by their names in the file.
RUN = "run"
SHARE_CALLS = "share-calls"
KINDS = (RUN, SHARE_CALLS)
# The protection against late effects of an earlier lease holder, by its name in the file. NUMBER: the
# resource compares fencing tokens. CLOCK: only the lease protects.
NUMBER = "number"
CLOCK = "clock"
NONE = "none"


class ServerConfiguration(Protocol):
    """The part of the server's configuration that is used here."""

    names: Any


class SingletonTaskOptions(NamedTuple):
    """The options of one task. Durations are in seconds."""

    kind: str
    command: str | None  # for a shell; of RUN
    interval: float | None  # between starts; None: after a success this lease holder does not start it again
    time_limit: float  # of one run
    grace_period: float  # from TERM to KILL
    fencing: str
    call_limit: int | None  # concurrent calls of all servers together; of SHARE_CALLS
    request_interval: float  # between a server's requests for its quota
    where: Mapping[str, LocatedValue] = {}  # by key: the value's position in the file


def build(
    values: Mapping[str, Any], where: Mapping[str, LocatedValue]
) -> tuple[SingletonTaskOptions, list[Fault]]:
    """Return the options of one section and its faults."""
    interval = values["every"]
    time_limit = values["most"]
    if time_limit is None:
        time_limit = min(DEFAULT_TIME_LIMIT_S, interval or DEFAULT_TIME_LIMIT_S)
    options = SingletonTaskOptions(
        kind=values["do"],
        command=values["command"],
        interval=interval,
        time_limit=time_limit,
        grace_period=values["patience"],
        fencing=values["fenced"],
        call_limit=values["cap"],
        request_interval=values["round"],
        where=where,
    )
    return options, [*_missing_keys(options), *_useless_keys(options), *_unsafe_values(options)]


def _missing_keys(options: SingletonTaskOptions) -> Iterator[Fault]:
    place = options.where["do"]
    if options.kind == RUN and options.command is None:
        yield place.fault("missing-key", "run wants a command")
    if options.kind == SHARE_CALLS and options.call_limit is None:
        yield place.fault("missing-key", "share-calls wants cap")


def _useless_keys(options: SingletonTaskOptions) -> Iterator[Fault]:
    for key, value, kind in (
        ("command", options.command, RUN),
        ("every", options.interval, RUN),
        ("cap", options.call_limit, SHARE_CALLS),
    ):
        if value is not None and options.kind != kind:
            yield options.where[key].fault("no-use", f"{key} is for {kind} alone")


def _unsafe_values(options: SingletonTaskOptions) -> Iterator[Fault]:
    if options.kind == RUN and options.fencing == NONE:
        yield options.where["fenced"].fault(
            "unfenced",
            "nothing keeps a late owner's effects off: fenced = number where what the command touches "
            "refuses lower VALETURN_FENCE numbers, fenced = clock for the weaker promise",
        )
    if options.interval is not None and options.time_limit > options.interval:
        yield options.where["most"].fault("over-every", "a run may still go on when the next is due")


# operator_config/loader.py passes the configuration and the sections below.


def check_deployment(
    tasks: Mapping[str, SingletonTaskOptions], configuration: ServerConfiguration
) -> list[Fault]:
    """Return the faults of all tasks together, given the server's configuration."""
    faults = []
    sharing = [name for name, options in tasks.items() if options.kind == SHARE_CALLS]
    for name in sharing[1:]:
        place = tasks[name].where["do"]
        faults.append(place.fault("doubled-duty", f"[duty {sharing[0]}] shares the calls already"))
    if len(tasks) > limits.SINGLETON_TASKS:
        place = next(iter(tasks.values())).where["do"]
        text = f"{limits.SINGLETON_TASKS} duties at the most, has {len(tasks)}"
        faults.append(place.fault("out-of-range", text))
    if sharing and not any(workload.makes_call for workload in configuration.names.settings.workloads):
        faults.append(tasks[sharing[0]].where["do"].fault("no-calls", "no workload here makes calls"))
    return faults


def check_sections(tasks: Mapping[str, SingletonTaskOptions], sections: Mapping[str, Any]) -> list[Fault]:
    """Return the faults of all tasks given [fleet], without which no other server could hold them."""
    cluster = sections.get("fleet")
    if cluster is None:
        return [
            options.where["do"].fault("no-fleet", f"[duty {name}] wants a section [fleet]")
            for name, options in tasks.items()
        ]
    return [fault for options in tasks.values() for fault in _past_lease(options, cluster.lease)]


def _past_lease(options: SingletonTaskOptions, lease: float) -> Iterator[Fault]:
    longest = LONGEST_GRACE_PERIOD * lease
    if options.kind == RUN and options.grace_period > longest:
        yield options.where["patience"].fault(
            "patience-past-lease",
            f"a command has to be gone before the lease of {lease:g} s may pass on: at most {longest:g} s",
        )
    elif options.kind == SHARE_CALLS and options.request_interval > lease:
        yield options.where["round"].fault("round-past-lease", "a share would be gone before the next")


SCHEMA = SectionSchema(
    "duty",
    {
        "do": Field(Choice(KINDS), REQUIRED),
        "command": Field(Text(), None),
        "every": Field(Quantity("a time", 0.1, 30 * DAY_S), None),
        "most": Field(Quantity("a time", 0.1, DAY_S), None),
        "patience": Field(Quantity("a time", 0.0, 10.0), 0.5),
        "fenced": Field(Choice((NUMBER, CLOCK, NONE)), NONE),
        "cap": Field(WholeNumber(1, 1_000_000), None),
        "round": Field(Quantity("a time", 0.05, 10.0), 0.5),
    },
    build,
    labelled=True,
)
