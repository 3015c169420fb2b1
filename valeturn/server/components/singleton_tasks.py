"""Runs the cluster's singleton tasks and this server's quota of the shared calls as a component."""

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
    """Return the name and the options of the task that shares the calls, or None without such a task.

    The options are without their places in the file, so that they compare equal after the file was
    reformatted.
    """
    for name, options in tasks.items():
        if options.kind == SHARE_CALLS:
            return name, options._replace(where={})
    return None


class Component(BaseComponent):
    """Configures the tasks of the cluster's node.

    Attributes:
        call_quota_monitor: Reports this server's call quota to the dispatcher; None if no task shares the
            calls.
    """

    applies_changes = True
    call_quota_monitor: CallQuotaMonitor | None = None

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - as the base class
        super().__init__(server, options)
        cluster = server.components["fleet"]
        assert isinstance(cluster, ClusterComponent)
        self.node = cluster.node
        self.node.configure(options)
        shared = next(((name, task) for name, task in options.items() if task.kind == SHARE_CALLS), None)
        if shared is not None:
            self.node.share_calls(*shared, self._required_calls)
            quota = self.node.call_quota
            assert quota is not None  # share_calls has created it
            self.call_quota_monitor = CallQuotaMonitor(quota.available)

    def _required_calls(self) -> float:
        """Return how many calls in flight this server could use now."""
        assert self.call_quota_monitor is not None
        required: float = self.call_quota_monitor.required_calls(self.server.dispatcher.call_count())
        return required

    def can_apply(self, options: Any) -> bool:  # noqa: ANN401 - as the base class
        """Return whether the task that shares the calls is unchanged: all servers must have the same cap."""
        return shared_calls_task(options or {}) == shared_calls_task(self.options or {})

    def apply(self, options: Any) -> None:  # noqa: ANN401 - as the base class
        """Replace the tasks."""
        self.options = options
        self.node.configure(options or {})
