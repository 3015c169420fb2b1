"""Run the operator's commands on a machine that was drained or has returned."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..cluster.node import ClusterNode
from ..cluster.singleton_tasks import CommandOutcome
from ..cluster.task_processes import TaskProcesses

HOOK_NAME = "turn"
"""The name under which a hook runs; commands read it from VALETURN_DUTY."""
TERMINATION_GRACE_S = 1.0
"""Longest time between the guard's SIGTERM to a hook's processes and its SIGKILL."""


class HookRunner:
    """Runs one command at a time, under a guard process that ends it at its time limit."""

    def __init__(self, node: ClusterNode, log: Callable[[str, dict[str, Any]], None]) -> None:
        """Use the node's scheduler, clock and environment for the commands.

        Args:
            node: This server's cluster node.
            log: Takes the name of an event and its fields.
        """
        self.node = node
        self.log = log
        self.ended = True
        self.processes = TaskProcesses(node.scheduler, node.task_processes.environment, self._on_ended)

    def start(self, command: str, fencing_token: int, time_limit: float) -> None:
        """Start a command; `ended` becomes true when it and all processes it started have ended.

        Args:
            command: The command for the shell.
            fencing_token: The fencing token of the grant under which it runs.
            time_limit: Seconds after which it is ended.
        """

        def token_of(name: str) -> int:
            return fencing_token

        self.ended = False
        failure = self.processes.start(HOOK_NAME, command, fencing_token, TERMINATION_GRACE_S)
        if failure is not None:
            self._on_ended(HOOK_NAME, failure)
        now: float = self.node.seams.to_boot(self.node.clock())
        self.processes.extend_leases(token_of, now + time_limit)

    def _on_ended(self, name: str, outcome: CommandOutcome) -> None:
        self.ended = True
        self.log("maintenance_hook_ended", outcome._asdict())

    def close(self) -> None:
        """End all processes, for the shutdown of the server."""
        self.processes.close_all()
