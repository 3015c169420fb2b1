"""Runs the control socket as a component of the server, and passes each request to its component."""

from __future__ import annotations

from ...control import answers, requests
from ...control.errors import SocketInUseError
from ...control.server import ControlServer
from . import Component as BaseComponent

NOT_CONFIGURED: dict[type, str] = {
    requests.MetricsRequest: "no metrics are configured",
    requests.HoldLevelRequest: "no levels are configured",
    requests.ReleaseLevelRequest: "no levels are configured",
    requests.ClusterRequest: "this server is in no fleet",
    requests.MaintenanceRequest: "no turns are configured",
}
"""Type of a request that no component answers -> the reason in its rejection."""


class Component(BaseComponent):
    """Listens on the control socket.

    Attributes:
        control: The listening server, or None before the start and if the socket can't be used.
    """

    control: ControlServer | None = None

    def start(self) -> None:
        """Listen; if that fails, log it and serve without a control socket."""
        server = self.server
        path = self.options.socket_path
        try:
            self.control = ControlServer(server.scheduler, path, self.reply, server.counters.add)
        except (SocketInUseError, OSError) as error:
            server.counters.add("control.listen_failed")
            server.log("control_listen_failed", {"socket": path, "reason": str(error)})

    def reply(self, request: requests.ControlRequest) -> bytes:
        """Return the encoded answer to a request."""
        if isinstance(request, requests.StatusRequest):
            return answers.encode_success(status=self.server.status.report())
        if isinstance(request, requests.FencedRequest):
            cluster = self.server.components.get("fleet")
            if cluster is None:
                return answers.encode_rejection("this server is in no fleet")
            return cluster.answer(request) or self.reply(request.request)
        for component in self.server.components.values():
            answer = component.answer(request)
            if answer is not None:
                return answer
        return answers.encode_rejection(NOT_CONFIGURED[type(request)])

    def drained(self) -> None:
        """Stop listening."""
        if self.control is not None:
            self.control.close()
