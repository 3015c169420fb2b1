"""The section [control] of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..operator_config.grammar import Fault, LocatedValue
from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import AbsolutePath

MAX_PATH_BYTES = 100  # Linux allows 107 bytes in a Unix socket's address


class ControlOptions(NamedTuple):
    """The options of the control socket.

    Attributes:
        socket_path: The path of the Unix socket.
        value_places: The place of each key in the operator's file, for messages about it.
    """

    socket_path: str
    value_places: Mapping[str, LocatedValue]


def build(
    values: Mapping[str, Any], value_places: Mapping[str, LocatedValue]
) -> tuple[ControlOptions, list[Fault]]:
    """Return the options of a section whose values have the right types, and their faults."""
    faults = []
    if len(values["socket"].encode()) > MAX_PATH_BYTES:
        message = f"socket wants a path of at most {MAX_PATH_BYTES} bytes"
        faults.append(value_places["socket"].fault("too-long", message))
    return ControlOptions(values["socket"], value_places), faults


def check_deployment(options: ControlOptions, configuration: object) -> list[Fault]:
    """Return the faults of the options with this configuration: none, as they are valid with any."""
    return []


SCHEMA = SectionSchema("control", {"socket": Field(AbsolutePath(), REQUIRED)}, build)
