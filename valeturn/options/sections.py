"""The sections that this version knows, each declared by its own package."""

from __future__ import annotations

from ..store.options import SHAPE as STORE
from . import schema

SHAPES = (STORE,)


class Unusable(Exception):
    """The operator's file can't be used; `faults` has a line for each thing that is wrong."""

    def __init__(self, faults):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


def load(path, process):
    """Options that fit the process's own limits. Raises Unusable. `process`: memory_mb of the
    configuration."""
    options, faults = schema.load(path, SHAPES)
    if options is not None:
        faults = [fault for name, built in options.sections.items() for fault in fit(built, process)]
    if faults:
        raise Unusable(faults)
    return options


def fit(built, memory_mb):
    check = getattr(built, "fit", None)
    return check(memory_mb) if check else []
