"""Runs the cluster node as a component of the server: peers, membership, leadership and its vote on disk."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ...cluster.node import ClusterNode
from ...cluster.vote_file import VoteFileError
from ...control import answers, requests
from ...control.requests import ClusterAction
from ..configuration import ConfigurationError
from . import Component as BaseComponent

if TYPE_CHECKING:
    from ..server import Server

LEAVE_DELAY_S = 0.05  # in which the message that this server leaves is sent over open connections


class Component(BaseComponent):
    """This server's node in the cluster."""

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - as the base class
        super().__init__(server, options)
        self.node = self._open_node()
        fields = {
            "cluster": options.name,
            "listen": options.listen,
            "incarnation": self.node.vote_incarnation,
        }
        server.log("cluster_opened", fields)

    def _open_node(self) -> ClusterNode:
        server = self.server
        options = self.options
        configuration = server.configuration
        try:
            return ClusterNode(
                options,
                configuration.name,
                server.scheduler,
                server.counters.add,
                server.log,
                configuration.seed,
                server.overrides.fleet,
            )
        except VoteFileError as error:
            raise ConfigurationError("fleet", f"{options.folder}: {error}") from None
        except OSError as error:
            where = f"{options.listen}, {options.folder or 'no folder'}"
            raise ConfigurationError("fleet", f"{where}: {error}") from None

    def start(self) -> None:
        """Join the cluster."""
        self.node.start()

    def status(self) -> dict[str, Any]:
        """Return the node's status, which `valeturn fleet status` shows."""
        return {"fleet": self.node.status()}

    def gauges(self) -> dict[str, Any]:
        """Return the node's gauges."""
        return {"fleet_" + name: value for name, value in self.node.gauge_values().items()}

    def begin_shutdown(self) -> None:
        """Transfer leadership to another server if this one is the leader."""
        self.node.leave()

    def drained(self) -> None:
        """Leave the cluster, and wait until the message about it is sent."""
        self.node.depart()
        self.server.scheduler.sleep(LEAVE_DELAY_S)

    def close(self, timeout_s: float) -> None:
        """Close the node's connections and its vote file, and end its commands."""
        self.node.close(timeout_s)

    def answer(self, request: requests.ControlRequest) -> bytes | None:
        """Answer requests about the cluster, and reject those with an outdated fencing token."""
        if isinstance(request, requests.FencedRequest):
            return self._check_fence(request)
        if not isinstance(request, requests.ClusterRequest):
            return None
        reason = self._carry_out(request)
        self.server.counters.add("fleet.asked." + request.action.replace("-", "_"))
        return answers.encode_success() if reason is None else answers.encode_rejection(reason)

    def _check_fence(self, request: requests.FencedRequest) -> bytes | None:
        """Return a rejection if a later lease holder has been seen, or None."""
        tokens = self.node.fencing_tokens
        name = "control." + request.task
        if tokens.accept(name, request.token):
            return None
        highest_seen = tokens.highest_seen[name]
        return answers.encode_rejection(
            f"{request.token} is lower than {highest_seen}, which was seen here: another has taken over"
        )

    def _carry_out(self, request: requests.ClusterRequest) -> str | None:
        """Carry out a request; return None, or the reason why it was rejected."""
        node = self.node
        actions: dict[ClusterAction, Callable[[], str | None]] = {
            ClusterAction.TRANSFER_LEADERSHIP: lambda: node.leadership_transfer.begin(request.server),
            ClusterAction.LEAVE: node.leave_alone,
            ClusterAction.FORCE_BOOTSTRAP: node.force_bootstrap,
            ClusterAction.ADD_VOTER: lambda: node.voter_changes.add(request.server or ""),
            ClusterAction.REMOVE_VOTER: lambda: node.voter_changes.remove(request.server or ""),
        }
        return actions[request.action]()
