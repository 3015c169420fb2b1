"""The cluster's node as a component of the server: peers, membership, leadership, its vote on disk."""

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

FAREWELL = 0.05  # s for the last messages to go out, where connections are there


class Component(BaseComponent):
    """This server's node of the cluster."""

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
                server.seams.fleet,
            )
        except VoteFileError as error:
            raise ConfigurationError("fleet", f"{options.folder}: {error}") from None
        except OSError as error:
            where = f"{options.listen}, {options.folder or 'no folder'}"
            raise ConfigurationError("fleet", f"{where}: {error}") from None

    def start(self) -> None:
        """Start to take part."""
        self.node.start()

    def status(self) -> dict[str, Any]:
        """Return what `valeturn fleet status` shows."""
        return {"fleet": self.node.status()}

    def gauges(self) -> dict[str, Any]:
        """Return the node's figures."""
        return {"fleet_" + name: value for name, value in self.node.gauge_values().items()}

    def begin_shutdown(self) -> None:
        """Transfer leadership, where this server has it."""
        self.node.leave()

    def drained(self) -> None:
        """Leave the cluster, and let the message that says so go out."""
        self.node.depart()
        self.server.scheduler.sleep(FAREWELL)

    def close(self, patience: float) -> None:
        """Close connections, commands and the vote's file."""
        self.node.close(patience)

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
        """Return a rejection where a later lease holder has been seen, or None."""
        tokens = self.node.fencing_tokens
        name = "control." + request.task
        if tokens.accept(name, request.token):
            return None
        highest_seen = tokens.highest_seen[name]
        return answers.encode_rejection(
            f"{request.token} is lower than {highest_seen}, which was seen here: another has taken over"
        )

    def _carry_out(self, request: requests.ClusterRequest) -> str | None:
        """Carry out a request and return why it can't be, or None."""
        node = self.node
        actions: dict[ClusterAction, Callable[[], str | None]] = {
            ClusterAction.TRANSFER_LEADERSHIP: lambda: node.leadership_transfer.begin(request.server),
            ClusterAction.LEAVE: node.leave_alone,
            ClusterAction.FORCE_BOOTSTRAP: node.force_bootstrap,
            ClusterAction.ADD_VOTER: lambda: node.voter_changes.add(request.server or ""),
            ClusterAction.REMOVE_VOTER: lambda: node.voter_changes.remove(request.server or ""),
        }
        return actions[request.action]()
