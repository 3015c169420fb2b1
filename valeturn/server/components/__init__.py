"""The optional subsystems of a server: each is a component with the same few methods, named in one table.

docs/components.md says how one is added. Nothing of a component is loaded before the operator's file has its
section: this module alone is, and only where there is such a file.
"""

from __future__ import annotations

import importlib
from types import ModuleType
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple

if TYPE_CHECKING:
    from ...control.requests import ControlRequest
    from ...operator_config.schema import OperatorConfig
    from ..server import Server

PACKAGE = __name__.partition(".")[0]


class ComponentDeclaration(NamedTuple):
    """What is known of a component that is not loaded."""

    section: str  # of the operator's file
    options: str  # the module that has the section's SCHEMA and check_deployment
    component: str  # the module that has its class Component


# In the order in which they are opened, asked and closed. Maintenance drains before the cluster, which it
# needs; control comes last, as it answers for the others.
TABLE = (
    ComponentDeclaration("store", "result_store.options", "server.components.result_store"),
    ComponentDeclaration("level", "degradation.options", "server.components.degradation"),
    ComponentDeclaration("turns", "maintenance.options", "server.components.maintenance"),
    ComponentDeclaration("fleet", "cluster.options", "server.components.cluster"),
    ComponentDeclaration("duty", "cluster.task_options", "server.components.singleton_tasks"),
    ComponentDeclaration("metrics", "metrics.options", "server.components.metrics"),
    ComponentDeclaration("control", "control.options", "server.components.control"),
)


def options_modules() -> dict[str, ModuleType]:
    """Return the module of each section's options, for whoever reads an operator's file."""
    return {one.section: importlib.import_module(f"{PACKAGE}.{one.options}") for one in TABLE}


def open_all(server: Server, config: OperatorConfig) -> dict[str, Component]:
    """Return the opened component of each section that the operator's file has.

    Raises:
        ConfigurationError: A component can't be opened with its options.
    """
    opened: dict[str, Component] = {}
    server.components = opened  # a component may ask for one that stands before it
    for one in TABLE:
        options = config.get(one.section)
        if options is not None:
            module = importlib.import_module(f"{PACKAGE}.{one.component}")
            opened[one.section] = module.Component(server, options)
    return opened


class Component:
    """One optional subsystem of a running server. All calls come from the loop's tasks; none waits.

    Attributes:
        server: The server that it is a component of.
        options: What the section's SCHEMA built.
    """

    applies_changes: ClassVar[bool] = (
        False  # whether `apply` carries out a changed section; else a restart does
    )

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - each section has its own type
        """Open what must be there before the admission controller starts.

        Raises:
            ConfigurationError: The server can't be started with these options.
        """
        self.server = server
        self.options = options

    def start(self) -> None:
        """Start tasks: the server listens. What fails here is logged, and the server serves on."""

    def status(self) -> dict[str, Any]:
        """Return its own words in the status, by key."""
        return {}

    def gauges(self) -> dict[str, Any]:
        """Return figures among the server's gauges, by name."""
        return {}

    def counters(self) -> dict[str, Any]:
        """Return groups that are printed with the counters: name -> figures."""
        return {}

    def can_apply(self, options: Any) -> bool:  # noqa: ANN401 - as in __init__
        """Return whether `apply` can carry out the changed section; None where the file has it no more."""
        return self.applies_changes and options is not None

    def apply(self, options: Any) -> None:  # noqa: ANN401 - as in __init__
        """Carry out the changed section; called only where `can_apply` said so."""
        raise NotImplementedError

    def begin_shutdown(self) -> None:
        """Take the termination signal; what is read is still served."""

    def answer(self, request: ControlRequest) -> bytes | None:
        """Return the answer to a control request that is its own, or None."""
        return None

    def drained(self) -> None:
        """Take that all is answered: nothing new is taken from outside."""

    def close(self, patience: float) -> None:
        """Close once the loop has ended; `patience` seconds are left for what must still reach the disk."""
