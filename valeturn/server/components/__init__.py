"""The optional subsystems: each is a part with the same few verbs, named in one table.

docs/parts.md says how one is added. Nothing of a part is loaded before the operator's file has its section:
this module alone is, and only where there is such a file.
"""

from __future__ import annotations

import importlib
from typing import NamedTuple

PACKAGE = __name__.partition(".")[0]


class Declared(NamedTuple):
    """What is known of a part that is not loaded."""

    section: str  # of the operator's file
    options: str  # the module that has the section's SCHEMA and check_deployment
    part: str  # the module that has its Part


# In the order in which they are opened, asked and closed. Control comes last: it answers for the others.
TABLE = (
    Declared("store", "result_store.options", "server.components.result_store"),
    Declared("level", "degradation.options", "server.components.degradation"),
    Declared(
        "turns", "maintenance.options", "server.components.maintenance"
    ),  # drained before the fleet: it needs it
    Declared("fleet", "cluster.options", "server.components.cluster"),
    Declared("duty", "cluster.task_options", "server.components.singleton_tasks"),
    Declared("metrics", "metrics.options", "server.components.metrics"),
    Declared("control", "control.options", "server.components.control"),
)


def options_modules():
    """section -> the module of its options, for whoever reads an operator's file."""
    return {one.section: importlib.import_module(f"{PACKAGE}.{one.options}") for one in TABLE}


def open_all(server, options):
    """section -> its part, for each section that the operator's file has. Raises ConfigurationError."""
    opened = server.parts = {}  # a part may ask for one that stands before it
    for one in TABLE:
        built = options.get(one.section) if options is not None else None
        if built is not None:
            opened[one.section] = importlib.import_module(f"{PACKAGE}.{one.part}").Part(server, built)
    return opened


class Part:
    """One optional subsystem of a running server. All calls come from the loop's tasks; none waits."""

    live = False  # `take` carries a changed section out; else it wants a restart

    def __init__(self, server, built):
        """built: what the section's SCHEMA made. Opens what must be there before the module starts. Raises
        ConfigurationError where the server can't be started with it."""
        self.server, self.built = server, built

    def start(self):
        """The server listens: tasks may be started. What fails here is logged, and the server serves on."""

    def status(self):
        """Its own words in the status, by key."""
        return {}

    def beliefs(self):
        """Figures among the server's beliefs, by name."""
        return {}

    def counts(self):
        """Groups that are printed with the counters: name -> figures."""
        return {}

    def take(self, built):
        """Carries the changed section out, whole; only where `live`."""
        raise NotImplementedError

    def takes(self, built):
        """Whether `take` can carry this changed section out; None where the file has it no more."""
        return self.live and built is not None

    def leaving(self):
        """The notice to leave has come; what is read is still served."""

    def answer(self, request):
        """The bytes for a control request that is its own, or None."""
        return None

    def drained(self):
        """All is answered: nothing new is taken from outside."""

    def close(self, patience):
        """The loop has ended; so many seconds are left for what must still reach the disk."""
