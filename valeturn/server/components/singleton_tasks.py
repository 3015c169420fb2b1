"""The cluster's singleton tasks as this server may run them, and its quota of the shared calls."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from ...cluster.task_options import SHARE_CALLS, SingletonTaskOptions
from ...dispatch.call_quota import CallQuotaMonitor
from . import Component as BaseComponent
from .cluster import Component as ClusterComponent

if TYPE_CHECKING:
    from ..server import Server

TasksByName = Mapping[str, SingletonTaskOptions]


def shared_calls_task(tasks: TasksByName) -> tuple[str, SingletonTaskOptions] | None:
    """Return the task that shares the calls, with its name and without its places in the file; or None."""
    for name, options in tasks.items():
        if options.kind == SHARE_CALLS:
            return name, options._replace(where={})
    return None


class Component(BaseComponent):
    """Hands the tasks to the cluster's node."""

    applies_changes = True
    sharing: CallQuotaMonitor | None = None

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - as the base class
        super().__init__(server, options)
        cluster = server.components["fleet"]
        assert isinstance(cluster, ClusterComponent)
        self.node = cluster.node
        self.node.configure(options)
        shared = next(((name, one) for name, one in options.items() if one.kind == SHARE_CALLS), None)
        if shared is not None:
            self.node.share_calls(*shared, self._needed_calls)
            quota = self.node.call_quota
            assert quota is not None  # share_calls has made it
            self.sharing = CallQuotaMonitor(quota.available)

    def _needed_calls(self) -> float:
        assert self.sharing is not None
        needed: float = self.sharing.required_calls(self.server.dispatcher.call_count())
        return needed

    def can_apply(self, options: Any) -> bool:  # noqa: ANN401 - as the base class
        """Return whether the sharing of calls is unchanged: all servers must have the same cap."""
        return shared_calls_task(options or {}) == shared_calls_task(self.options or {})

    def apply(self, options: Any) -> None:  # noqa: ANN401 - as the base class
        """Replace the tasks."""
        self.options = options
        self.node.configure(options or {})
