"""The sections [duty NAME] of the operator's file: work that one server does on behalf of the fleet."""

from __future__ import annotations

from typing import NamedTuple

from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import Choice, Quantity, Text, WholeNumber
from . import limits

KILLED = 0.15  # of the lease, before its end, at which a command is killed that did not heed TERM
LONGEST_PATIENCE = 0.3  # of the lease: with KILLED under half of it, what a healthy owner always has left


class DutyOptions(NamedTuple):
    do: str  # "run" or "share-calls"
    command: str | None  # for a shell, of `run`
    every: (
        float | None
    )  # s from one start to the next; without it a command that ends is done till the next owner
    most: float  # s that a run may take: a minute, or what `every` leaves, where the file does not say
    patience: float  # s from TERM to KILL
    fenced: str  # "number": what it touches compares fences; "clock": only the owner's clock keeps others off
    cap: int | None  # calls out that the dependency takes from all servers together, of `share-calls`
    round: float  # s between two asks of a server for its share
    where: dict = {}


def build(values, where):
    if values["most"] is None:
        values = {**values, "most": min(60.0, values["every"] or 60.0)}
    options, faults = DutyOptions(**values, where=where), []
    if options.do == "run" and options.command is None:
        faults.append(where["do"].fault("missing-key", "run wants a command"))
    if options.do == "share-calls" and options.cap is None:
        faults.append(where["do"].fault("missing-key", "share-calls wants cap"))
    for key, do in (("command", "run"), ("every", "run"), ("cap", "share-calls")):
        if getattr(options, key) is not None and options.do != do:
            faults.append(where[key].fault("no-use", f"{key} is for {do} alone"))
    if options.do == "run" and options.fenced == "none":
        faults.append(
            where["fenced"].fault(
                "unfenced",
                "nothing keeps a late owner's effects off: fenced = number where what the command touches "
                "refuses lower VALETURN_FENCE numbers, fenced = clock for the weaker promise",
            )
        )
    if options.every is not None and options.most > options.every:
        faults.append(where["most"].fault("over-every", "a run may still go on when the next is due"))
    return options, faults


def check_deployment(duties, c):
    """What is wrong with them beside each other."""
    faults, sharing = [], [name for name, one in duties.items() if one.do == "share-calls"]
    for name in sharing[1:]:
        faults.append(
            duties[name].where["do"].fault("doubled-duty", f"[duty {sharing[0]}] shares the calls already")
        )
    if len(duties) > limits.DUTIES:
        faults.append(
            next(iter(duties.values()))
            .where["do"]
            .fault("out-of-range", f"{limits.DUTIES} duties at the most, has {len(duties)}")
        )
    if sharing and not any(w.calls for w in c.names.settings.workloads):
        faults.append(duties[sharing[0]].where["do"].fault("no-calls", "no workload here makes calls"))
    return faults


def check_sections(duties, sections):
    """What is wrong with them beside [fleet], without which there is nobody to share them with."""
    faults, fleet = [], sections.get("fleet")
    for name, one in duties.items():
        if fleet is None:
            faults.append(one.where["do"].fault("no-fleet", f"[duty {name}] wants a section [fleet]"))
        elif one.do == "run" and one.patience > LONGEST_PATIENCE * fleet.lease:
            faults.append(
                one.where["patience"].fault(
                    "patience-past-lease",
                    f"a command has to be gone before the lease of {fleet.lease:g} s may pass on: "
                    f"at most {LONGEST_PATIENCE * fleet.lease:g} s",
                )
            )
        elif one.do == "share-calls" and one.round > fleet.lease:
            faults.append(
                one.where["round"].fault("round-past-lease", "a share would be gone before the next")
            )
    return faults


SCHEMA = SectionSchema(
    "duty",
    {
        "do": Field(Choice(("run", "share-calls")), REQUIRED),
        "command": Field(Text(), None),
        "every": Field(Quantity("a time", 0.1, 30 * 86400.0), None),
        "most": Field(Quantity("a time", 0.1, 86400.0), None),
        "patience": Field(Quantity("a time", 0.0, 10.0), 0.5),
        "fenced": Field(Choice(("number", "clock", "none")), "none"),
        "cap": Field(WholeNumber(1, 1_000_000), None),
        "round": Field(Quantity("a time", 0.05, 10.0), 0.5),
    },
    build,
    labelled=True,
)
