"""The section [control] of the operator's file."""

from __future__ import annotations

from typing import NamedTuple

from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import AbsolutePath

LONGEST_PATH = 100  # bytes of a Unix socket's path: the system takes 107


class ControlOptions(NamedTuple):
    socket: str
    where: dict = {}


def build(values, where):
    faults = []
    if len(values["socket"].encode()) > LONGEST_PATH:
        faults.append(
            where["socket"].fault("too-long", f"socket wants a path of at most {LONGEST_PATH} bytes")
        )
    return ControlOptions(**values, where=where), faults


def check_deployment(built, c):
    """Nothing of a configuration speaks against a socket."""
    return []


SCHEMA = SectionSchema("control", {"socket": Field(AbsolutePath(), REQUIRED)}, build)
