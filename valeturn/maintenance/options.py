"""The section [turns] of the operator's file."""

from __future__ import annotations

from typing import NamedTuple

from ..operator_config.schema import Field, SectionSchema
from ..operator_config.value_types import Boolean, Choice, Quantity, Text, WholeNumber
from .drain_schedule import Limits


class TurnsOptions(NamedTuple):
    most: int  # servers out at once
    share: float  # of all that are known, that may be out at once; one may always
    one_zone: bool  # only servers of one zone at a time
    spare: float  # of the cores in service that have to stay free
    answers: int  # that a server which returned has to have given
    idle: float  # s that count as proved where nobody asks it
    work: float  # s that work may take where the request does not say
    patience: float  # s that an empty server waits for an owner's word before it ends without its work
    missing: str  # one that does not return: its place is kept, or given on
    empty: str | None  # a command, run on the machine once it is empty
    returned: str | None  # and once it is back
    where: dict = {}

    def limits(self):
        return Limits(
            self.most, self.share, self.one_zone, self.spare, self.answers, self.idle, self.missing == "keep"
        )


def build(values, where):
    return TurnsOptions(**values, where=where), []


def check_deployment(built, c):
    faults = []
    if built.most >= max(2, c.names.settings.servers) and c.names.settings.servers > 1:
        faults.append(
            built.where["most"].fault(
                "all-out", f"most = {built.most} lets all {c.names.settings.servers} servers go out at once"
            )
        )
    return faults


def check_sections(built, sections):
    if "fleet" not in sections:
        return [built.where["most"].fault("no-fleet", "[turns] wants a section [fleet]")]
    return []


SCHEMA = SectionSchema(
    "turns",
    {
        "most": Field(WholeNumber(1, 1000), 1),
        "share": Field(Quantity("a share", 0.001, 0.9), 0.1),
        "one_zone": Field(Boolean(), True),
        "spare": Field(Quantity("a share", 0.0, 0.9), 0.1),
        "answers": Field(WholeNumber(0, 1_000_000), 20),
        "idle": Field(Quantity("a time", 0.1, 3600.0), 30.0),
        "work": Field(Quantity("a time", 1.0, 86400.0), 600.0),
        "patience": Field(Quantity("a time", 1.0, 3600.0), 60.0),
        "missing": Field(Choice(("keep", "give")), "keep"),
        "empty": Field(Text(), None),
        "returned": Field(Text(), None),
    },
    build,
)
