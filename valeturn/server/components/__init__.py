"""The optional subsystems of a server: each is a component with the same interface, declared in one table.

docs/components.md describes how to add one. A component's module is imported only if the operator's file has
its section; this module is imported only if there is an operator's file.
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
    """Where the code of a component is; its modules are imported by these names when they are needed.

    Attributes:
        section: The component's section of the operator's file.
        options: The module with the section's SCHEMA and check_deployment, relative to the package.
        component: The module with its class Component, relative to the package.
    """

    section: str
    options: str
    component: str


# In the order in which components are opened, called and closed. Maintenance is closed before the cluster,
# which it needs; control comes last, because it passes requests to the others.
DECLARATIONS = (
    ComponentDeclaration("store", "result_store.options", "server.components.result_store"),
    ComponentDeclaration("level", "degradation.options", "server.components.degradation"),
    ComponentDeclaration("turns", "maintenance.options", "server.components.maintenance"),
    ComponentDeclaration("fleet", "cluster.options", "server.components.cluster"),
    ComponentDeclaration("duty", "cluster.task_options", "server.components.singleton_tasks"),
    ComponentDeclaration("metrics", "metrics.options", "server.components.metrics"),
    ComponentDeclaration("control", "control.options", "server.components.control"),
)


def options_modules() -> dict[str, ModuleType]:
    """Import and return the options module of each section, with which an operator's file is read."""
    return {
        declaration.section: importlib.import_module(f"{PACKAGE}.{declaration.options}")
        for declaration in DECLARATIONS
    }


def open_all(server: Server, config: OperatorConfig) -> dict[str, Component]:
    """Open the component of each section that the operator's file has; return them by section.

    `server.components` is set to the returned dictionary before the first component is opened.

    Raises:
        ConfigurationError: A component can't be opened with its options.
    """
    opened: dict[str, Component] = {}
    server.components = opened  # a component may use one that is opened before it
    for declaration in DECLARATIONS:
        options = config.get(declaration.section)
        if options is not None:
            module = importlib.import_module(f"{PACKAGE}.{declaration.component}")
            opened[declaration.section] = module.Component(server, options)
    return opened


class Component:
    """Base class of the optional subsystems of a running server.

    All methods are called from tasks of the event loop and must not block it.

    Attributes:
        server: The server to which the component belongs.
        options: The options that the section's SCHEMA built.
        applies_changes: Whether `apply` can put a changed section into effect; otherwise a restart is needed.
    """

    applies_changes: ClassVar[bool] = False

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - each section has its own type
        """Open the resources that the admission controller needs at its start.

        Raises:
            ConfigurationError: The server can't be started with these options.
        """
        self.server = server
        self.options = options

    def start(self) -> None:
        """Start the component's tasks; the server listens already, and serves even if this fails."""

    def status(self) -> dict[str, Any]:
        """Return the component's entries of the server's status, by key."""
        return {}

    def gauges(self) -> dict[str, Any]:
        """Return the component's gauges, by name."""
        return {}

    def counters(self) -> dict[str, Any]:
        """Return groups of values that are logged with the counters: group name -> values."""
        return {}

    def can_apply(self, options: Any) -> bool:  # noqa: ANN401 - as in __init__
        """Return whether `apply` can put changed options into effect; None stands for a removed section."""
        return self.applies_changes and options is not None

    def apply(self, options: Any) -> None:  # noqa: ANN401 - as in __init__
        """Put changed options into effect; called only after `can_apply` returned True for them."""
        raise NotImplementedError

    def begin_shutdown(self) -> None:
        """React to a termination signal; requests are still served until they are drained."""

    def answer(self, request: ControlRequest) -> bytes | None:
        """Return the encoded answer to a control request of this component, or None for any other request."""
        return None

    def drained(self) -> None:
        """React to the end of the drain: all requests are answered and no new ones are accepted."""

    def close(self, timeout_s: float) -> None:
        """Close the component after the loop was stopped.

        Args:
            timeout_s: Seconds that are left to write data that must reach the disk.
        """
