"""The section [turns] of the operator's file."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from ..operator_config.grammar import Fault, LocatedValue
from ..operator_config.schema import Field, SectionSchema
from ..operator_config.value_types import Boolean, Choice, Quantity, Text, WholeNumber
from .drain_schedule import MaintenanceLimits

KEEP_MISSING = "keep"
"""The value of the key `missing` with which a server that does not return keeps counting as unavailable."""


class AdmissionSettings(Protocol):
    """The part of the admission controller's settings that is used here."""

    servers: int  # number of servers that share the load


class AdmissionNames(Protocol):
    """The part of the configuration's names that is used here."""

    settings: AdmissionSettings


class ServerConfiguration(Protocol):
    """The part of the server's JSON configuration that is used here."""

    names: AdmissionNames


class MaintenanceOptions(NamedTuple):
    """The section's values, in the order of its keys."""

    max_unavailable: int  # servers that may be unavailable at once
    max_unavailable_share: float  # the same as a share of all known servers; one server is always allowed
    single_zone: bool  # only servers of one zone at a time
    spare_capacity_share: float  # share of the cores in service that has to stay free
    min_answer_count: int  # requests that a returned server has to answer before it counts as proved
    idle_proof_time: float  # seconds after which a returned server counts as proved without answers
    work_duration: float  # seconds that maintenance may take where the request does not say
    leader_timeout: float  # seconds that a drained server waits for a leader's answer before it exits
    missing: str  # keep: a server that does not return stays unavailable; give: another may be drained
    drained_hook: str | None  # command to run on the machine once the server is drained
    return_hook: str | None  # command to run on the machine once the server has returned
    where: dict[str, LocatedValue] = {}  # by key: the value's position in the file

    def limits(self) -> MaintenanceLimits:
        """Return the options that the drain schedule uses."""
        return MaintenanceLimits(
            self.max_unavailable,
            self.max_unavailable_share,
            self.single_zone,
            self.spare_capacity_share,
            self.min_answer_count,
            self.idle_proof_time,
            self.missing == KEEP_MISSING,
        )


def build(values: dict[str, Any], where: dict[str, LocatedValue]) -> tuple[MaintenanceOptions, list[Fault]]:
    """Return the options from the section's values by key; no combination of them is a fault."""
    options = MaintenanceOptions(
        max_unavailable=values["most"],
        max_unavailable_share=values["share"],
        single_zone=values["one_zone"],
        spare_capacity_share=values["spare"],
        min_answer_count=values["answers"],
        idle_proof_time=values["idle"],
        work_duration=values["work"],
        leader_timeout=values["patience"],
        missing=values["missing"],
        drained_hook=values["empty"],
        return_hook=values["returned"],
        where=where,
    )
    return options, []


def check_deployment(built: MaintenanceOptions, configuration: ServerConfiguration) -> list[Fault]:
    """Return the faults of the options given the server's configuration."""
    server_count = configuration.names.settings.servers
    if server_count <= 1 or built.max_unavailable < server_count:
        return []
    text = f"most = {built.max_unavailable} lets all {server_count} servers go out at once"
    return [built.where["most"].fault("all-out", text)]


def check_sections(built: MaintenanceOptions, sections: dict[str, Any]) -> list[Fault]:
    """Return the faults of the options given the file's other sections."""
    if "fleet" in sections:
        return []
    return [built.where["most"].fault("no-fleet", "[turns] wants a section [fleet]")]


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
        "missing": Field(Choice((KEEP_MISSING, "give")), KEEP_MISSING),
        "empty": Field(Text(), None),
        "returned": Field(Text(), None),
    },
    build,
)
